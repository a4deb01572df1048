import { BodyShare } from './bodyShare.ts'

/** Options of {@link BodyMemory}. */
export interface BodyMemoryOptions {
  /** Bytes that all bodies may take beyond their uncounted parts. */
  maxBytes: number
  /** Part of each body that is not counted, so that small ones always have room. */
  uncountedBytes: number
}

/** Memory that many bodies share while they are kept. */
export class BodyMemory {
  readonly uncountedBytes: number
  readonly #maxBytes: number
  #freeBytes: number

  constructor ({ maxBytes, uncountedBytes }: BodyMemoryOptions) {
    this.#maxBytes = maxBytes
    this.#freeBytes = maxBytes
    this.uncountedBytes = uncountedBytes
  }

  /** Bytes that are left; negative if bodies that had arrived took more. */
  get freeBytes (): number {
    return this.#freeBytes
  }

  /** Bytes that all bodies take beyond their uncounted parts. */
  get takenBytes (): number {
    return this.#maxBytes - this.#freeBytes
  }

  /** Opens the share of one body, which holds nothing yet. */
  open (): BodyShare {
    return new BodyShare(this)
  }

  /** Takes bytes; negative to give them back. */
  take (bytes: number): void {
    this.#freeBytes -= bytes
  }
}
