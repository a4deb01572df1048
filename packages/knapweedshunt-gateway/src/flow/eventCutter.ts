const ID_LINE = /^id:[ ]?(.*)$/m

/** A whole event of a stream, byte for byte. */
export interface CutEvent {
  bytes: Buffer
  /** Null for an event without an id. */
  id: string | null
}

/** Cuts a stream of server-sent events at their ends; an event that has not ended stays back. */
export class EventCutter {
  #rest: Buffer = Buffer.alloc(0)

  /** Bytes of an event that has not ended. */
  get rest (): Buffer {
    return this.#rest
  }

  /** Takes a chunk and returns the events that ended in it. */
  take (chunk: Buffer): CutEvent[] {
    const text = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const events: CutEvent[] = []
    let start = 0
    for (let end = findEnd(text, start); end !== -1; end = findEnd(text, start)) {
      const bytes = text.subarray(start, end)
      events.push({ bytes, id: ID_LINE.exec(bytes.toString('latin1'))?.[1].trim() ?? null })
      start = end
    }
    this.#rest = text.subarray(start)
    return events
  }
}

/** Position after the blank line that ends the first event, -1 when there is none. */
function findEnd (text: Buffer, start: number): number {
  const plain = text.indexOf('\n\n', start)
  const crlf = text.indexOf('\r\n\r\n', start)
  if (plain === -1 && crlf === -1) return -1
  return crlf === -1 || (plain !== -1 && plain < crlf) ? plain + 2 : crlf + 4
}
