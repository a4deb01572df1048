/** One piece of a prompt that other prompts may share. */
export interface Segment {
  id: number
  tokens: number
}

/**
 * Block cache of one engine, least recently used blocks first.
 * All blocks of a segment are touched together and the deepest go first, so blocks held per segment are enough.
 */
export class SegmentCache {
  readonly #capacity: number
  readonly #held = new Map<number, number>()
  #size = 0

  /** Capacity in tokens. */
  constructor (capacity: number) {
    this.#capacity = capacity
  }

  /** Leading tokens of the prompt that are cached. */
  countCached (segments: Segment[]): number {
    let cached = 0
    for (const { id, tokens } of segments) {
      const held = this.#held.get(id) ?? 0
      cached += held
      if (held < tokens) break
    }
    return cached
  }

  /** Stores a prompt and returns the segments that lost their first blocks. */
  store (segments: Segment[]): number[] {
    for (const { id, tokens } of segments.toReversed()) {
      this.#size += tokens - (this.#held.get(id) ?? 0)
      this.#held.delete(id)
      this.#held.set(id, tokens)
    }
    return this.#evict()
  }

  #evict (): number[] {
    const evicted: number[] = []
    for (const [id, held] of this.#held) {
      const over = this.#size - this.#capacity
      if (over <= 0) break
      if (held > over) this.#held.set(id, held - over)
      else {
        this.#held.delete(id)
        evicted.push(id)
      }
      this.#size -= Math.min(held, over)
    }
    return evicted
  }
}
