import { BodyBuffer } from 'knapweedshunt-utils'

const LINE_FEED = 10
const CARRIAGE_RETURN = 13

/** Splits a stream of server-sent events behind the blank lines that end them. An event that is not complete is kept as bytes: its lines as strings take many times their size, and pin the chunks that they are parts of. */
export class EventSplitter {
  #rest = new BodyBuffer()
  #isLineEmpty = true
  /** Which line the last byte ends if it is a carriage return, which a line feed may follow. */
  #lastReturn: 'none' | 'line' | 'blank-line' = 'none'

  /** Number of bytes that belong to no complete event. */
  get length (): number {
    return this.#rest.length
  }

  /** Memory that they take, in bytes. */
  get capacity (): number {
    return this.#rest.capacity
  }

  /** Adds bytes; returns the text of the events that are complete now, empty if there is none. */
  add (bytes: Buffer): string {
    const chunk = this.#lastReturn === 'blank-line' && bytes[0] === LINE_FEED ? bytes.subarray(1) : bytes
    if (chunk !== bytes) this.#lastReturn = 'none'
    const end = this.#findEnd(chunk)
    if (end === 0) {
      this.#rest.add(chunk)
      return ''
    }
    const complete = chunk.subarray(0, end)
    const isWhole = this.#rest.length === 0
    if (!isWhole) this.#rest.add(complete)
    const text = (isWhole ? complete : this.#rest.join()).toString('utf8')
    if (!isWhole) this.#rest = new BodyBuffer()
    if (end < chunk.length) this.#rest.add(chunk.subarray(end))
    // A parser would wait for a line feed behind it; one that follows is left out.
    return text.endsWith('\r') ? `${text}\n` : text
  }

  /** Returns the offset behind the last blank line; 0 if there is none. */
  #findEnd (chunk: Buffer): number {
    let end = 0
    // Fields are slow in a loop over bytes.
    let isLineEmpty = this.#isLineEmpty
    let lastReturn = this.#lastReturn
    for (let offset = 0; offset < chunk.length; offset++) {
      const byte = chunk[offset]
      if (byte !== LINE_FEED && byte !== CARRIAGE_RETURN) {
        isLineEmpty = false
        lastReturn = 'none'
        continue
      }
      const endsReturn = byte === LINE_FEED && lastReturn !== 'none'
      const isBlank = endsReturn ? lastReturn === 'blank-line' : isLineEmpty
      if (isBlank) end = offset + 1
      isLineEmpty = true
      if (byte === LINE_FEED) lastReturn = 'none'
      else lastReturn = isBlank ? 'blank-line' : 'line'
    }
    this.#isLineEmpty = isLineEmpty
    this.#lastReturn = lastReturn
    return end
  }
}
