import { KeyState } from './keyState.ts'

/** Recently used keys, bounded. Two generations in place of an ordered list: a key that is used again before a whole generation of others stays. */
export class KeyTable {
  readonly #generationSize: number
  #young = new Map<string, KeyState>()
  #old = new Map<string, KeyState>()

  /** At most `capacity` keys are remembered, at least half as many. */
  constructor (capacity: number) {
    this.#generationSize = Math.ceil(capacity / 2)
  }

  /** A key's state, created when missing, now among the most recent ones. */
  take (key: string, nowMs: number): KeyState {
    const young = this.#young.get(key)
    if (young !== undefined) return young
    const state = this.#old.get(key) ?? new KeyState(key, nowMs)
    this.#young.set(key, state)
    this.#old.delete(key)
    if (this.#young.size >= this.#generationSize) this.#startGeneration()
    return state
  }

  /** A key's state if it is remembered. */
  find (key: string): KeyState | undefined {
    return this.#young.get(key) ?? this.#old.get(key)
  }

  /** All remembered keys. */
  * list (): Iterable<KeyState> {
    yield * this.#young.values()
    yield * this.#old.values()
  }

  #startGeneration (): void {
    this.#old = this.#young
    this.#young = new Map()
  }
}
