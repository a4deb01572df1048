/** Store of kept KV caches: segments that were used again and evicted, the longest unused go first. */
export class KeptStore {
  readonly #capacity: number
  readonly #kept = new Map<string, number>()
  #size = 0

  /** Capacity in tokens. */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Prompt tokens up to the end of each kept level, by level key. */
  list (): Array<{ key: string, tokens: number }> {
    return [...this.#kept].map(([key, tokens]) => ({ key, tokens }))
  }

  /** Whether a level is kept; a look makes it recent. */
  has (key: string): boolean {
    const tokens = this.#kept.get(key)
    if (tokens === undefined) return false
    this.#kept.delete(key)
    this.#kept.set(key, tokens)
    return true
  }

  /** Keeps a prefix. */
  keep (key: string, tokens: number): void {
    if (this.#capacity === 0 || this.has(key)) return
    this.#kept.set(key, tokens)
    this.#size += tokens
    for (const [oldest, size] of this.#kept) {
      if (this.#size <= this.#capacity) return
      this.#kept.delete(oldest)
      this.#size -= size
    }
  }
}
