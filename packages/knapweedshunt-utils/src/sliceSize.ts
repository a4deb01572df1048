/** Sizes of slices, in bytes: the first one and those with small parts, and the largest of others. */
const MIN_BYTES = 2 * 1024
const DEFAULT_MAX_BYTES = 16 * 1024

/** Parts of a slice from which on they count as small, if their mean size is below this, in bytes. */
const MIN_SMALL_PARTS = 32
const SMALL_PART_BYTES = 64

/** Size of the slices in which bytes that have arrived are handled: what they cost follows the number of their parts, and that is not known before. */
export class SliceSize {
  readonly #maxBytes: number
  #bytes = MIN_BYTES
  #hasSmallParts = false

  constructor (maxBytes = DEFAULT_MAX_BYTES) {
    this.#maxBytes = maxBytes
  }

  /** Size of the next slice, in bytes. */
  get bytes (): number {
    return this.#bytes
  }

  /** Whether the last slice had many small parts. */
  get hasSmallParts (): boolean {
    return this.#hasSmallParts
  }

  /** Records a slice, and the number of parts that were found in it. */
  record (bytes: number, partCount: number): void {
    this.#hasSmallParts = partCount >= MIN_SMALL_PARTS && bytes < partCount * SMALL_PART_BYTES
    if (this.#hasSmallParts) this.#bytes = MIN_BYTES
    else if (bytes >= this.#bytes) this.#bytes = Math.min(this.#maxBytes, 2 * this.#bytes)
  }

  /** Forgets all slices. */
  reset (): void {
    this.#hasSmallParts = false
    this.#bytes = MIN_BYTES
  }
}
