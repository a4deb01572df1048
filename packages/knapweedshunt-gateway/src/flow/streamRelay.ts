import type http from 'node:http'
import { EventCutter } from './eventCutter.ts'

/** How the passing on of one endpoint's stream ended. */
export type RelayEnd =
  | { type: 'complete' }
  /** The endpoint's stream broke, or fell silent for too long. */
  | { type: 'cut', reason: string }
  | { type: 'callerLeft' }

/** What a relay is told of one endpoint's stream. */
export interface RelayOptions {
  /** Silence after which the stream counts as cut, in milliseconds; null for none. */
  stallMs: number | null
  /** Asked after that silence whether the stream may be cut; if not, the wait begins anew. */
  mayCut (): boolean
  /** Called at each chunk of the endpoint. */
  onChunk (): void
}

/** Passes streams of events on to one caller, from one endpoint after the other. */
export class StreamRelay {
  readonly #answer: http.ServerResponse
  readonly #isResumable: boolean
  #lastEventId: string | null
  #bytes = 0
  #firstAtMs: number | null = null
  #lastAtMs = 0
  #longestPauseMs = 0

  constructor (answer: http.ServerResponse, isResumable: boolean, lastEventId: string | null) {
    this.#answer = answer
    this.#isResumable = isResumable
    this.#lastEventId = lastEventId
  }

  /** Id of the last whole event passed on. */
  get lastEventId (): string | null {
    return this.#lastEventId
  }

  /** Bytes passed on. */
  get bytes (): number {
    return this.#bytes
  }

  /** Monotonic time of the first bytes passed on, null before. */
  get firstAtMs (): number | null {
    return this.#firstAtMs
  }

  /** Longest time between two writes to the caller, in milliseconds. */
  get longestPauseMs (): number {
    return this.#longestPauseMs
  }

  /** Passes on one endpoint's stream. Of a resumable stream only whole events go on, each once. */
  async pass (message: http.IncomingMessage, options: RelayOptions): Promise<RelayEnd> {
    const cutter = new EventCutter()
    let stall: NodeJS.Timeout | undefined
    let isStalled = false
    const wait = () => {
      clearTimeout(stall)
      if (options.stallMs !== null) stall = setTimeout(takeStall, options.stallMs)
    }
    const takeStall = () => {
      if (!options.mayCut()) return wait()
      isStalled = true
      message.destroy()
    }
    try {
      wait()
      for await (const chunk of message as AsyncIterable<Buffer>) {
        options.onChunk()
        wait()
        if (this.#answer.destroyed) return { type: 'callerLeft' }
        const bytes = this.#isResumable ? this.#selectEvents(cutter, chunk) : chunk
        if (bytes.length > 0 && !this.#write(bytes)) {
          clearTimeout(stall)
          if (!await this.#waitDrain()) return { type: 'callerLeft' }
          wait()
        }
      }
    } catch (error) {
      return this.#answer.destroyed ? { type: 'callerLeft' } : { type: 'cut', reason: isStalled ? 'silent' : (error as Error).message }
    } finally {
      clearTimeout(stall)
    }
    if (!message.complete) return { type: 'cut', reason: 'ended early' }
    if (cutter.rest.length > 0) this.#write(cutter.rest)
    return { type: 'complete' }
  }

  /** Whole events that were not passed on before. */
  #selectEvents (cutter: EventCutter, chunk: Buffer): Buffer {
    const events = cutter.take(chunk).filter(event => event.id === null || this.#isNext(event.id))
    for (const event of events) this.#lastEventId = event.id ?? this.#lastEventId
    return events.length === 1 ? events[0].bytes : Buffer.concat(events.map(event => event.bytes))
  }

  #isNext (id: string): boolean {
    return this.#lastEventId === null || Number(id) > Number(this.#lastEventId)
  }

  #write (bytes: Buffer): boolean {
    const nowMs = performance.now()
    if (this.#firstAtMs !== null) this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - this.#lastAtMs)
    this.#firstAtMs ??= nowMs
    this.#lastAtMs = nowMs
    this.#bytes += bytes.length
    return this.#answer.write(bytes)
  }

  /** Waits until the caller has read; false when it left. */
  #waitDrain (): Promise<boolean> {
    if (this.#answer.destroyed) return Promise.resolve(false)
    return new Promise(resolve => {
      const settle = (isDrained: boolean) => {
        this.#answer.removeListener('drain', onDrain)
        this.#answer.removeListener('close', onClose)
        resolve(isDrained)
      }
      const onDrain = () => settle(true)
      const onClose = () => settle(false)
      this.#answer.once('drain', onDrain)
      this.#answer.once('close', onClose)
    })
  }
}
