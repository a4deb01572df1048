import { KeyState } from './keyState.ts'

/** Bounded table of recently used keys. Uses two generations in place of an LRU list: a key is evicted when it is not used while a full generation of other keys is added. */
export class KeyTable {
  readonly #generationSize: number
  #recent = new Map<string, KeyState>()
  #previous = new Map<string, KeyState>()

  /** Remembers at most `capacity` keys, and at least the most recently used half of that number. */
  constructor (capacity: number) {
    this.#generationSize = Math.ceil(capacity / 2)
  }

  /** Returns the state of a key, created if missing, and marks it as recently used. */
  getOrCreate (key: string, nowMs: number): KeyState {
    const recent = this.#recent.get(key)
    if (recent !== undefined) return recent
    const state = this.#previous.get(key) ?? new KeyState(key, nowMs)
    this.#recent.set(key, state)
    this.#previous.delete(key)
    if (this.#recent.size >= this.#generationSize) this.#startGeneration()
    return state
  }

  /** Finds the state of a key without marking it as used. */
  find (key: string): KeyState | undefined {
    return this.#recent.get(key) ?? this.#previous.get(key)
  }

  /** Iterates over all remembered keys, recent generation first. */
  * list (): Iterable<KeyState> {
    yield * this.#recent.values()
    yield * this.#previous.values()
  }

  #startGeneration (): void {
    this.#previous = this.#recent
    this.#recent = new Map()
  }
}
