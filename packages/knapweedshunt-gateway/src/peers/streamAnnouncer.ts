import type { StreamVersion } from 'knapweedshunt-attempts'
import type { PoolName, VmId } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { PeerView } from './peerAddress.ts'
import { MAX_MESSAGE_STREAMS } from './streamMessages.ts'

/** Time for which streams are gathered before they are sent, in milliseconds. */
const BATCH_MS = 5

/** Pause after a failed call, in milliseconds. */
const RETRY_INTERVAL_MS = 500

/** Maximum number of calls to one VM that are in flight at once; it answers those about streams that it stores once they are written. */
const MAX_CALLS = 4

/** A stream as it is told to a VM. */
export interface AnnouncedStream extends StreamVersion {
  /** Whether the VM writes it to the store. */
  mustStore: boolean
}

interface PendingStream extends AnnouncedStream {
  pool: PoolName
  atMs: number
  /** Called when the VM has acknowledged the stream. */
  onTold (): void
}

interface PeerQueue {
  view: PeerView
  /** Streams that are not in a call. */
  pending: PendingStream[]
  callCount: number
  isScheduled: boolean
  retryAtMs: number
  /** Whether the last call failed; there is one call at a time then. */
  isFailing: boolean
}

/** Dependencies of {@link StreamAnnouncer}. */
export interface StreamAnnouncerDependencies {
  /** Ends all calls. */
  signal: AbortSignal
  call (view: PeerView, method: string, params: unknown): Promise<unknown>
  /** Time for which a stream may be taken up again, in milliseconds. */
  getRetentionMs (): number
  onFailed (vm: VmId, reason: string): void
}

/** Tells other VMs which software versions began streams; what a VM does not acknowledge is sent again while it matters. */
export class StreamAnnouncer {
  readonly #dependencies: StreamAnnouncerDependencies
  readonly #queues = new Map<VmId, PeerQueue>()

  constructor (dependencies: StreamAnnouncerDependencies) {
    this.#dependencies = dependencies
  }

  /** Sends a stream to another VM soon; resolves when that VM has acknowledged it. */
  add (view: PeerView, pool: PoolName, stream: AnnouncedStream): Promise<void> {
    const queue = this.#queues.get(view.vm) ?? { view, pending: [], callCount: 0, isScheduled: false, retryAtMs: -Infinity, isFailing: false }
    this.#queues.set(view.vm, queue)
    queue.view = view
    return new Promise(resolve => {
      queue.pending.push({ ...stream, pool, atMs: performance.now(), onTold: resolve })
      this.#schedule(queue)
    })
  }

  #schedule (queue: PeerQueue): void {
    if (queue.isScheduled || queue.callCount >= (queue.isFailing ? 1 : MAX_CALLS) || queue.pending.length === 0) return
    queue.isScheduled = true
    this.#sendNext(queue).catch(() => {}) // Failed calls are reported by onFailed.
  }

  async #sendNext (queue: PeerQueue): Promise<void> {
    const { signal } = this.#dependencies
    await sleep(Math.max(BATCH_MS, queue.retryAtMs - performance.now()), signal)
    queue.isScheduled = false
    const batch = this.#takeBatch(queue)
    if (batch.length === 0 || signal.aborted) return
    queue.callCount++
    this.#schedule(queue)
    const isTold = await this.#send(queue, batch)
    queue.callCount--
    queue.isFailing = !isTold
    if (isTold) {
      for (const { onTold } of batch) onTold()
    } else {
      queue.pending.unshift(...batch)
      queue.retryAtMs = performance.now() + RETRY_INTERVAL_MS
    }
    this.#schedule(queue)
  }

  #takeBatch (queue: PeerQueue): PendingStream[] {
    const oldestMs = performance.now() - this.#dependencies.getRetentionMs()
    const pending = queue.pending.filter(({ atMs }) => atMs >= oldestMs)
    const batch = pending.filter(({ pool }) => pool === pending[0].pool).slice(0, MAX_MESSAGE_STREAMS)
    queue.pending = pending.filter(stream => !batch.includes(stream))
    return batch
  }

  async #send ({ view }: PeerQueue, batch: PendingStream[]): Promise<boolean> {
    try {
      await this.#dependencies.call(view, 'streams.record', { pool: batch[0].pool, waitsUntilStored: true, streams: batch.map(({ key, softwareVersion, mustStore }) => ({ key, softwareVersion, mustStore })) })
      return true
    } catch (error) {
      this.#dependencies.onFailed(view.vm, (error as Error).message)
      return false
    }
  }
}
