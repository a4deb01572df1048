/** Chunks below this size, in bytes, are joined, as each costs more than its bytes. */
const MIN_CHUNK_BYTES = 4 * 1024

/** Sizes of the blocks in which they are joined, in bytes: small first, so that a short body costs little. */
const MIN_BLOCK_BYTES = 1024
const MAX_BLOCK_BYTES = 16 * 1024

/** A body as far as it has arrived. What it takes follows its size, however many chunks it came in. */
export class BodyBuffer {
  readonly #parts: Buffer[] = []
  #length = 0
  #capacity = 0
  /** Block that is not full; null if there is none. */
  #block: { bytes: Buffer, length: number } | null = null

  /** Number of bytes that have arrived. */
  get length (): number {
    return this.#length
  }

  /** Memory that is taken, in bytes. */
  get capacity (): number {
    return this.#capacity
  }

  /** Adds a chunk. A small one is copied, as is a part of a larger buffer, which it would keep in memory. */
  add (chunk: Buffer): void {
    this.#length += chunk.length
    if (chunk.length >= MIN_CHUNK_BYTES) {
      this.#closeBlock()
      const isWhole = chunk.buffer.byteLength < 2 * chunk.length
      this.#parts.push(isWhole ? chunk : Buffer.from(chunk))
      this.#capacity += isWhole ? chunk.buffer.byteLength : chunk.length
      return
    }
    for (let start = 0; start < chunk.length;) {
      const block = this.#block ?? this.#openBlock(chunk.length - start)
      const copied = chunk.copy(block.bytes, block.length, start)
      start += copied
      block.length += copied
      if (block.length === block.bytes.length) this.#closeBlock()
    }
  }

  /** Returns what has arrived, in parts. */
  list (): Buffer[] {
    return this.#block === null ? this.#parts : [...this.#parts, this.#block.bytes.subarray(0, this.#block.length)]
  }

  /** Returns what has arrived, in one buffer. */
  join (): Buffer {
    const parts = this.list()
    return parts.length === 1 ? parts[0] : Buffer.concat(parts)
  }

  #openBlock (neededBytes: number): { bytes: Buffer, length: number } {
    // A body that arrives in one chunk takes no more than its size.
    const size = this.#length === neededBytes ? neededBytes : Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, neededBytes, this.#capacity))
    this.#capacity += size
    this.#block = { bytes: Buffer.allocUnsafeSlow(size), length: 0 }
    return this.#block
  }

  #closeBlock (): void {
    if (this.#block === null) return
    this.#parts.push(this.#block.bytes.subarray(0, this.#block.length))
    this.#block = null
  }
}
