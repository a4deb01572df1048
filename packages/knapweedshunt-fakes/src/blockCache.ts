/** Prefix cache of one engine: least recently used blocks go first. Keys chain, so a hit needs all blocks before it. */
export class BlockCache {
  readonly #capacity: number
  readonly #blocks = new Map<string, true>()

  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Number of cached blocks. */
  get size (): number {
    return this.#blocks.size
  }

  /** Whether one block is cached. */
  has (key: string): boolean {
    return this.#blocks.has(key)
  }

  /** Counts how many leading blocks are cached. */
  countPrefix (keys: string[]): number {
    const firstMiss = keys.findIndex(key => !this.#blocks.has(key))
    return firstMiss === -1 ? keys.length : firstMiss
  }

  /** Stores blocks, the last one as least recent of the chain, and returns the keys evicted. */
  store (keys: string[]): string[] {
    for (const key of keys.toReversed()) {
      this.#blocks.delete(key)
      this.#blocks.set(key, true)
    }
    return this.#evict()
  }

  /** Forgets all blocks. */
  clear (): void {
    this.#blocks.clear()
  }

  #evict (): string[] {
    const evicted: string[] = []
    for (const key of this.#blocks.keys()) {
      if (this.#blocks.size <= this.#capacity) break
      this.#blocks.delete(key)
      evicted.push(key)
    }
    return evicted
  }
}
