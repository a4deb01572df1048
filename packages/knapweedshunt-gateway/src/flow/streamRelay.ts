import type http from 'node:http'
import { EventEndTracker } from './eventEndTracker.ts'
import { EventSplitter } from './eventSplitter.ts'
import type { StreamEvent } from './eventSplitter.ts'

/** Why a stream ended before it was complete. */
export type StreamInterruption =
  /** The connection was closed early. */
  | { type: 'cut', reason: string }
  /** The stream paused for longer than the stall timeout. */
  | { type: 'stalled' }

/** Result of forwarding the stream of one endpoint. */
export type RelayResult = { type: 'complete' } | StreamInterruption | { type: 'callerLeft' }

/** Options for forwarding the stream of one endpoint. */
export interface RelayOptions {
  /** Time without a chunk after which the stream counts as cut, in milliseconds; null for no limit. */
  stallTimeoutMs: number | null
  /** Called after the stall timeout; if it returns false, the timeout starts again. */
  canCut (): boolean
  /** Called for each chunk that arrives from the endpoint. */
  onChunk (): void
  /** Called before the first event of a resumable stream is forwarded. */
  onFirstEvent (): void
}

/** Forwards the event streams of consecutive endpoints to one caller. */
export class StreamRelay {
  readonly #callerResponse: http.ServerResponse
  readonly #isResumable: boolean
  #lastEventId: string | null
  #bytes = 0
  #firstWriteAtMs: number | null = null
  #lastWriteAtMs: number | null = null
  #longestPauseMs = 0

  constructor (callerResponse: http.ServerResponse, isResumable: boolean, lastEventId: string | null) {
    this.#callerResponse = callerResponse
    this.#isResumable = isResumable
    this.#lastEventId = lastEventId
  }

  /** Id of the last complete event forwarded; null before the first, unless the caller sent one. */
  get lastEventId (): string | null {
    return this.#lastEventId
  }

  /** Number of bytes forwarded. */
  get bytes (): number {
    return this.#bytes
  }

  /** Monotonic time of the first write to the caller, in milliseconds; null before. */
  get firstWriteAtMs (): number | null {
    return this.#firstWriteAtMs
  }

  /** Monotonic time of the last write to the caller, in milliseconds; null before the first. */
  get lastWriteAtMs (): number | null {
    return this.#lastWriteAtMs
  }

  /** Longest time between two writes to the caller, in milliseconds. */
  get longestPauseMs (): number {
    return this.#longestPauseMs
  }

  /** Forwards the stream of one endpoint. Of a resumable stream only complete events are forwarded, each at most once. */
  async forward (response: http.IncomingMessage, options: RelayOptions): Promise<RelayResult> {
    const splitter = new EventSplitter()
    const endTracker = new EventEndTracker()
    let stallTimer: NodeJS.Timeout | undefined
    let isStalled = false
    const restartStallTimer = () => {
      clearTimeout(stallTimer)
      if (options.stallTimeoutMs !== null) stallTimer = setTimeout(handleStall, options.stallTimeoutMs)
    }
    const handleStall = () => {
      if (!options.canCut()) return restartStallTimer()
      isStalled = true
      response.destroy()
    }
    try {
      restartStallTimer()
      for await (const chunk of response as AsyncIterable<Buffer>) {
        options.onChunk()
        if (this.#callerResponse.destroyed) return { type: 'callerLeft' }
        endTracker.addChunk(chunk)
        const events = this.#isResumable ? splitter.addChunk(chunk) : null
        // Bytes that complete no event are no progress.
        if (events === null || events.length > 0) restartStallTimer()
        const bytes = events === null ? chunk : this.#selectNewEvents(events)
        if (bytes.length > 0 && this.#isResumable && this.#firstWriteAtMs === null) options.onFirstEvent()
        if (bytes.length > 0 && !this.#write(bytes)) {
          clearTimeout(stallTimer)
          if (!await this.#waitDrain()) return { type: 'callerLeft' }
          restartStallTimer()
        }
      }
    } catch (error) {
      if (this.#callerResponse.destroyed) return { type: 'callerLeft' }
      return isStalled ? { type: 'stalled' } : { type: 'cut', reason: (error as Error).message }
    } finally {
      clearTimeout(stallTimer)
    }
    if (!response.complete) return { type: 'cut', reason: 'ended early' }
    if (endTracker.isInsideEvent && isEventStream(response)) return { type: 'cut', reason: 'ended inside an event' }
    if (splitter.incompleteEvent.length > 0) this.#write(splitter.incompleteEvent)
    return { type: 'complete' }
  }

  /** Returns the bytes of the events that were not forwarded before. */
  #selectNewEvents (events: StreamEvent[]): Buffer {
    const newEvents = events.filter(event => event.id === null || this.#isNewEvent(event.id))
    for (const event of newEvents) this.#lastEventId = event.id ?? this.#lastEventId
    return newEvents.length === 1 ? newEvents[0].bytes : Buffer.concat(newEvents.map(event => event.bytes))
  }

  #isNewEvent (id: string): boolean {
    return this.#lastEventId === null || Number(id) > Number(this.#lastEventId)
  }

  #write (bytes: Buffer): boolean {
    const nowMs = performance.now()
    if (this.#lastWriteAtMs !== null) this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - this.#lastWriteAtMs)
    this.#firstWriteAtMs ??= nowMs
    this.#lastWriteAtMs = nowMs
    this.#bytes += bytes.length
    return this.#callerResponse.write(bytes)
  }

  /** Waits until the caller has read the buffered data; false if it disconnected. */
  #waitDrain (): Promise<boolean> {
    if (this.#callerResponse.destroyed) return Promise.resolve(false)
    return new Promise(resolve => {
      const settle = (isDrained: boolean) => {
        this.#callerResponse.removeListener('drain', onDrain)
        this.#callerResponse.removeListener('close', onClose)
        resolve(isDrained)
      }
      const onDrain = () => settle(true)
      const onClose = () => settle(false)
      this.#callerResponse.once('drain', onDrain)
      this.#callerResponse.once('close', onClose)
    })
  }
}

function isEventStream ({ headers }: http.IncomingMessage): boolean {
  return headers['content-type']?.toLowerCase().startsWith('text/event-stream') ?? false
}
