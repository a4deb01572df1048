import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

type CollectGarbage = (options: { type: 'minor' | 'major' }) => void

/** Collects buffers that were dropped. On its own Node.js waits until half of the heap's limit has piled up outside of the heap. */
export class BufferCollector {
  readonly #maxDroppedBytes: number
  readonly #collect: CollectGarbage
  #arrivedBytes = 0
  #evictedBytes = 0

  /** `maxDroppedBytes` is what may wait to be collected, of bytes that were handed on and of bodies that gave way; `collect` is the garbage collector of this process if absent. */
  constructor (maxDroppedBytes: number, collect: CollectGarbage = findCollectGarbage()) {
    this.#maxDroppedBytes = maxDroppedBytes
    this.#collect = collect
  }

  /** Records bytes that arrived; most are handed on at once, so that their buffers are young. */
  recordArrived (bytes: number): void {
    this.#arrivedBytes += bytes
    if (this.#arrivedBytes < this.#maxDroppedBytes) return
    this.#arrivedBytes = 0
    this.#collect({ type: 'minor' })
  }

  /** Records the bytes of a body that was kept for a while and gave way. */
  recordEvicted (bytes: number): void {
    this.#evictedBytes += bytes
    if (this.#evictedBytes < 2 * this.#maxDroppedBytes) return
    this.#evictedBytes = 0
    this.#collect({ type: 'major' })
  }
}

function findCollectGarbage (): CollectGarbage {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as CollectGarbage
}
