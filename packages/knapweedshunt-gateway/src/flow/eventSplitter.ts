const ID_LINE = /^id:[ ]?(.*)$/m

/** A complete server-sent event with its original bytes. */
export interface StreamEvent {
  bytes: Buffer
  /** Null if the event has no id. */
  id: string | null
}

/** Splits a stream of server-sent events into complete events and buffers an incomplete one. */
export class EventSplitter {
  #incompleteEvent: Buffer = Buffer.alloc(0)

  /** Buffered bytes of an incomplete event. */
  get incompleteEvent (): Buffer {
    return this.#incompleteEvent
  }

  /** Adds a chunk and returns the events that it completes. */
  addChunk (chunk: Buffer): StreamEvent[] {
    const text = this.#incompleteEvent.length === 0 ? chunk : Buffer.concat([this.#incompleteEvent, chunk])
    const events: StreamEvent[] = []
    let start = 0
    for (let end = findEventEnd(text, start); end !== -1; end = findEventEnd(text, start)) {
      const bytes = text.subarray(start, end)
      events.push({ bytes, id: ID_LINE.exec(bytes.toString('latin1'))?.[1].trim() ?? null })
      start = end
    }
    this.#incompleteEvent = text.subarray(start)
    return events
  }
}

/** Position after the blank line that ends the first event; -1 if there is none. */
function findEventEnd (text: Buffer, start: number): number {
  const lfEnd = text.indexOf('\n\n', start)
  const crlfEnd = text.indexOf('\r\n\r\n', start)
  if (lfEnd === -1 && crlfEnd === -1) return -1
  return crlfEnd === -1 || (lfEnd !== -1 && lfEnd < crlfEnd) ? lfEnd + 2 : crlfEnd + 4
}
