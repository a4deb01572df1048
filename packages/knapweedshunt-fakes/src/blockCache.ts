/** Prefix cache of one engine with LRU eviction. Each key hashes all blocks before it, so a cache hit requires the whole chain up to it. */
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

  /** Whether this block is cached, regardless of the blocks before it. */
  has (key: string): boolean {
    return this.#blocks.has(key)
  }

  /** Counts the leading blocks that are cached without a gap. */
  countCachedPrefix (keys: string[]): number {
    const firstMiss = keys.findIndex(key => !this.#blocks.has(key))
    return firstMiss === -1 ? keys.length : firstMiss
  }

  /** Stores a chain of blocks and returns the evicted keys. The last block becomes the least recently used of the chain, so that chains are evicted from their end. */
  store (keys: string[]): string[] {
    for (const key of keys.toReversed()) {
      this.#blocks.delete(key)
      this.#blocks.set(key, true)
    }
    return this.#evict()
  }

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
