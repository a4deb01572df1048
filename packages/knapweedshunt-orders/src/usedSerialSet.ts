const CHUNK_SERIALS = 4_096
const BITS_PER_BYTE = 8

interface Chunk {
  bits: Uint8Array
  expiresAtMs: number
}

/** Set of used serial numbers, one bit each, kept in chunks until they expire. Serials in and below a dropped chunk count as used. */
export class UsedSerialSet {
  readonly #chunks = new Map<number, Chunk>()
  #firstChunk = 0

  /** Allocates the chunk of a serial that expires at the wall-clock time in milliseconds. */
  allocate (serial: number, expiresAtMs: number): void {
    const index = Math.floor(serial / CHUNK_SERIALS)
    const chunk = this.#chunks.get(index) ?? { bits: new Uint8Array(CHUNK_SERIALS / BITS_PER_BYTE), expiresAtMs: 0 }
    chunk.expiresAtMs = Math.max(chunk.expiresAtMs, expiresAtMs)
    this.#chunks.set(index, chunk)
  }

  has (serial: number): boolean {
    const index = Math.floor(serial / CHUNK_SERIALS)
    if (index < this.#firstChunk) return true
    const byte = this.#chunks.get(index)?.bits[Math.floor(serial % CHUNK_SERIALS / BITS_PER_BYTE)] ?? 0
    return (byte & (1 << (serial % BITS_PER_BYTE))) !== 0
  }

  add (serial: number): void {
    this.allocate(serial, 0)
    const chunk = this.#chunks.get(Math.floor(serial / CHUNK_SERIALS)) as Chunk
    chunk.bits[Math.floor(serial % CHUNK_SERIALS / BITS_PER_BYTE)] |= 1 << (serial % BITS_PER_BYTE)
  }

  /** Drops chunks whose serials have all expired, in serial order; the last chunk is kept. */
  dropExpired (nowMs: number): void {
    for (;;) {
      const chunk = this.#chunks.get(this.#firstChunk)
      if (chunk === undefined || chunk.expiresAtMs === 0 || chunk.expiresAtMs > nowMs) return
      if (!this.#chunks.has(this.#firstChunk + 1)) return
      this.#chunks.delete(this.#firstChunk++)
    }
  }

  /** Encodes the set from the first kept chunk on: `first` is its first serial, `bits` the base64 bitmap. */
  encode (): { first: number, bits: string } {
    const chunks = [...this.#chunks.keys()].sort((a, b) => a - b)
    const last = chunks.at(-1) ?? this.#firstChunk
    const bytes = Buffer.alloc((last - this.#firstChunk + 1) * CHUNK_SERIALS / BITS_PER_BYTE)
    for (const index of chunks) bytes.set(this.#chunks.get(index)?.bits ?? [], (index - this.#firstChunk) * CHUNK_SERIALS / BITS_PER_BYTE)
    return { first: this.#firstChunk * CHUNK_SERIALS, bits: bytes.toString('base64') }
  }
}

/** Whether the serial is used, in a set that {@link UsedSerialSet.encode} wrote; a serial before it counts as used. */
export function isSerialUsed (written: { first: number, bits: string }, serial: number): boolean {
  const offset = serial - written.first
  if (offset < 0) return true
  const byte = Buffer.from(written.bits, 'base64')[Math.floor(offset / BITS_PER_BYTE)] ?? 0
  return (byte & (1 << (offset % BITS_PER_BYTE))) !== 0
}
