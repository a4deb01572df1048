import type { EventMemory } from './eventMemory.ts'

const ID_LINE = /^id:[ ]?(.*)$/m

/** Longest event of which the bytes are kept until it is complete. */
export const MAX_EVENT_BYTES = 1024 * 1024

/** Reason of a loss. */
export const EVENT_TOO_LONG = `an event exceeds ${MAX_EVENT_BYTES} bytes, or the memory for long events is used`

/** Buffer of an incomplete event that is not counted as long, in bytes. */
const MAX_UNCOUNTED_BYTES = 64 * 1024

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

/** Splits a stream of server-sent events into complete events and buffers an incomplete one, up to {@link MAX_EVENT_BYTES} and a chunk, as far as there is memory. `release` must be called in the end. */
export class EventSplitter {
  /** Bytes of an incomplete event, in front of unused space. Grows by doubling, so that an event of many small chunks costs no more than one of a few. */
  #buffer: Buffer = Buffer.alloc(0)
  #length = 0
  readonly #memory: EventMemory
  /** Bytes taken from the memory for the buffer. */
  #takenBytes = 0
  #isMemoryUsed = false

  constructor (memory: EventMemory) {
    this.#memory = memory
  }

  /** Buffered bytes of an incomplete event. */
  get incompleteEvent (): Buffer {
    return this.#buffer.subarray(0, this.#length)
  }

  /** Whether the incomplete event exceeds {@link MAX_EVENT_BYTES} or the memory. Nothing may be added then. */
  get isTooLong (): boolean {
    return this.#isMemoryUsed || this.#length > MAX_EVENT_BYTES
  }

  /** Gives the memory back and drops the incomplete event. */
  release (): void {
    this.#replaceBuffer(Buffer.alloc(0))
  }

  /** Adds a chunk and returns the events that it completes. */
  addChunk (chunk: Buffer): StreamEvent[] {
    // No end was found in the bytes of earlier chunks.
    const searchStart = Math.max(0, this.#length - MAX_SPLIT_END_BYTES)
    const text = this.#length === 0 ? chunk : this.#append(chunk)
    if (text === null) return []
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

  /** Returns null without memory. */
  #append (chunk: Buffer): Buffer | null {
    const length = this.#length + chunk.length
    if (length > this.#buffer.length) {
      const grownBytes = Math.max(length, 2 * this.#buffer.length)
      if (!this.#tryTake(grownBytes)) return null
      const grown = Buffer.allocUnsafe(grownBytes)
      this.#buffer.copy(grown, 0, 0, this.#length)
      this.#buffer = grown
    }
    chunk.copy(this.#buffer, this.#length)
    this.#length = length
    return this.incompleteEvent
  }

  #tryTake (bytes: number): boolean {
    if (bytes <= MAX_UNCOUNTED_BYTES) return true
    this.#isMemoryUsed = !this.#memory.tryTake(bytes - this.#takenBytes)
    if (!this.#isMemoryUsed) this.#takenBytes = bytes
    return !this.#isMemoryUsed
  }

  #replaceBuffer (bytes: Buffer): void {
    this.#memory.release(this.#takenBytes)
    this.#takenBytes = 0
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
