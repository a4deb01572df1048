/** A part of a prompt that other prompts may share. */
export interface Segment {
  id: number
  tokens: number
}

/**
 * Block cache of one engine with LRU eviction.
 * All blocks of a segment are used together and the deepest are evicted first, so a token count per segment is sufficient.
 */
export class SegmentCache {
  readonly #capacityTokens: number
  readonly #tokensById = new Map<number, number>()
  #sizeTokens = 0

  /** Capacity in tokens. */
  constructor (capacityTokens: number) {
    this.#capacityTokens = capacityTokens
  }

  /** Counts the leading tokens of a prompt that are cached. */
  countCachedTokens (segments: Segment[]): number {
    let cached = 0
    for (const { id, tokens } of segments) {
      const held = this.#tokensById.get(id) ?? 0
      cached += held
      if (held < tokens) break
    }
    return cached
  }

  /** Stores a prompt and returns the segments that were evicted completely. */
  store (segments: Segment[]): number[] {
    for (const { id, tokens } of segments.toReversed()) {
      this.#sizeTokens += tokens - (this.#tokensById.get(id) ?? 0)
      this.#tokensById.delete(id)
      this.#tokensById.set(id, tokens)
    }
    return this.#evict()
  }

  #evict (): number[] {
    const evicted: number[] = []
    for (const [id, held] of this.#tokensById) {
      const excessTokens = this.#sizeTokens - this.#capacityTokens
      if (excessTokens <= 0) break
      if (held > excessTokens) this.#tokensById.set(id, held - excessTokens)
      else {
        this.#tokensById.delete(id)
        evicted.push(id)
      }
      this.#sizeTokens -= Math.min(held, excessTokens)
    }
    return evicted
  }
}
