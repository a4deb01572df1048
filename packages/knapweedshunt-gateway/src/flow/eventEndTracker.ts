/** Length of the longest blank line with the line end before it, in bytes. */
const MAX_EVENT_END_BYTES = 4

/** The end of an event: a blank line. */
const EVENT_END = /\n\r?\n$/

/** Tells whether a stream of server-sent events is at the end of an event. */
export class EventEndTracker {
  #tail: Buffer = Buffer.alloc(0)

  /** Whether the last byte belongs to an event that is not complete; false before the first byte. */
  get isInsideEvent (): boolean {
    return this.#tail.length > 0 && !EVENT_END.test(this.#tail.toString('latin1'))
  }

  /** Adds the next bytes of the stream. */
  addChunk (chunk: Buffer): void {
    this.#tail = Buffer.concat([this.#tail, chunk.subarray(-MAX_EVENT_END_BYTES)]).subarray(-MAX_EVENT_END_BYTES)
  }
}
