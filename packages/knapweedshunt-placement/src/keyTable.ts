import { KeyState } from './keyState.ts'

/** Most recently used keys, bounded. */
export class KeyTable {
  readonly #capacity: number
  readonly #keys = new Map<string, KeyState>()

  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Number of keys remembered. */
  get size (): number {
    return this.#keys.size
  }

  /** A key's state, created when missing, now the most recent one. */
  take (key: string, nowMs: number): KeyState {
    const known = this.#keys.get(key)
    const state = known ?? new KeyState(key, nowMs)
    if (known !== undefined) this.#keys.delete(key)
    this.#keys.set(key, state)
    if (this.#keys.size > this.#capacity) this.#keys.delete(this.#keys.keys().next().value as string)
    return state
  }

  /** A key's state if it is remembered. */
  find (key: string): KeyState | undefined {
    return this.#keys.get(key)
  }

  /** All remembered keys, least recent first. */
  list (): Iterable<KeyState> {
    return this.#keys.values()
  }
}
