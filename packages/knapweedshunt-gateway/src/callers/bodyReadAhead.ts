/** Bytes that one body may have read ahead. */
export interface ReadAheadGrant {
  bytes: number
  /** Gives the bytes back. */
  release (): void
}

/** Memory for the rests of long bodies that wait to be sent. Only behind the rest does a VM see that the caller has closed its connection. */
export class BodyReadAhead {
  #freeBytes: number

  constructor (maxBytes: number) {
    this.#freeBytes = maxBytes
  }

  /** Takes up to `maxBytes`, as far as there are any left. */
  take (maxBytes: number): ReadAheadGrant {
    const bytes = Math.min(maxBytes, this.#freeBytes)
    this.#freeBytes -= bytes
    let isReleased = false
    const release = () => {
      if (isReleased) return
      isReleased = true
      this.#freeBytes += bytes
    }
    return { bytes, release }
  }
}
