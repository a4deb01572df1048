/** Model of the KV store: KV caches of prefixes that were used again. Evicts the least recently used ones. */
export class KvStore {
  readonly #capacityTokens: number
  readonly #tokensByKey = new Map<string, number>()
  #sizeTokens = 0

  /** Capacity in tokens. */
  constructor (capacityTokens: number) {
    this.#capacityTokens = capacityTokens
  }

  /** Lists the stored levels by key, with the prompt tokens up to the end of each. */
  list (): Array<{ key: string, tokens: number }> {
    return [...this.#tokensByKey].map(([key, tokens]) => ({ key, tokens }))
  }

  /** Whether a level is stored; marks it as recently used. */
  has (key: string): boolean {
    const tokens = this.#tokensByKey.get(key)
    if (tokens === undefined) return false
    this.#tokensByKey.delete(key)
    this.#tokensByKey.set(key, tokens)
    return true
  }

  /** Stores a prefix and evicts others if the capacity is exceeded. */
  save (key: string, tokens: number): void {
    if (this.#capacityTokens === 0 || this.has(key)) return
    this.#tokensByKey.set(key, tokens)
    this.#sizeTokens += tokens
    for (const [oldest, size] of this.#tokensByKey) {
      if (this.#sizeTokens <= this.#capacityTokens) return
      this.#tokensByKey.delete(oldest)
      this.#sizeTokens -= size
    }
  }
}
