/** Default for the bytes that the long incomplete events of all streams may take; a small VM has 178 MB of memory, of which the process takes a quarter. */
const DEFAULT_MAX_BYTES = 16 * 1024 * 1024

/** Memory of one VM for long events that are not complete. */
export class EventMemory {
  #freeBytes: number

  constructor (maxBytes = DEFAULT_MAX_BYTES) {
    this.#freeBytes = maxBytes
  }

  /** Takes bytes; returns whether there were enough. */
  tryTake (bytes: number): boolean {
    if (bytes > this.#freeBytes) return false
    this.#freeBytes -= bytes
    return true
  }

  /** Gives bytes back. */
  release (bytes: number): void {
    this.#freeBytes += bytes
  }
}
