const ID_LINE = /^id:[ ]?(.*)$/m

/** Longest event of which the bytes are kept until it is complete. */
export const MAX_EVENT_BYTES = 128 * 1024

/** Reason of a loss. */
export const EVENT_TOO_LONG = `an event exceeds ${MAX_EVENT_BYTES} bytes`

/** Bytes of an event's end that may lie in front of the chunk with its last byte. */
const MAX_SPLIT_END_BYTES = 2

const LF = 10
const CR = 13

/** A complete server-sent event with its original bytes. */
export interface StreamEvent {
  bytes: Buffer
  /** Null if the event has no id. */
  id: string | null
}

/** Splits a stream of server-sent events into complete events and buffers an incomplete one, up to {@link MAX_EVENT_BYTES} and a chunk. */
export class EventSplitter {
  /** Bytes of an incomplete event, in front of unused space. Grows by doubling, so that an event of many small chunks costs no more than one of a few. */
  #buffer: Buffer = Buffer.alloc(0)
  #length = 0

  /** Buffered bytes of an incomplete event. */
  get incompleteEvent (): Buffer {
    return this.#buffer.subarray(0, this.#length)
  }

  /** Whether the incomplete event exceeds {@link MAX_EVENT_BYTES}. */
  get isTooLong (): boolean {
    return this.#length > MAX_EVENT_BYTES
  }

  /** Adds a chunk and returns the events that it completes. */
  addChunk (chunk: Buffer): StreamEvent[] {
    // No end was found in the bytes of earlier chunks.
    const searchStart = Math.max(0, this.#length - MAX_SPLIT_END_BYTES)
    const text = this.#length === 0 ? chunk : this.#append(chunk)
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEventEnd(text, searchStart); end !== -1; end = findEventEnd(text, start)) {
      const bytes = text.subarray(start, end)
      events.push({ bytes, id: ID_LINE.exec(bytes.toString('latin1'))?.[1].trim() ?? null })
      start = end
    }
    // The events are views of the old buffer.
    if (events.length > 0 || text === chunk) this.#replaceBuffer(text.subarray(start))
    return events
  }

  #append (chunk: Buffer): Buffer {
    const length = this.#length + chunk.length
    if (length > this.#buffer.length) {
      const grown = Buffer.allocUnsafe(Math.max(length, 2 * this.#buffer.length))
      this.#buffer.copy(grown, 0, 0, this.#length)
      this.#buffer = grown
    }
    chunk.copy(this.#buffer, this.#length)
    this.#length = length
    return this.incompleteEvent
  }

  #replaceBuffer (bytes: Buffer): void {
    this.#buffer = Buffer.from(bytes)
    this.#length = bytes.length
  }
}

/** Position after the blank line that ends the first event; -1 if there is none. */
function findEventEnd (text: Buffer, start: number): number {
  for (let i = text.indexOf(LF, start); i !== -1; i = text.indexOf(LF, i + 1)) {
    if (text[i + 1] === LF) return i + 2
    if (text[i + 1] === CR && text[i + 2] === LF) return i + 3
  }
  return -1
}
