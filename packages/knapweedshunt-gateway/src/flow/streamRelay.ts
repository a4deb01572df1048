import type http from 'node:http'
import { PROCESS_TURNS, SliceSize, startTimeout } from 'knapweedshunt-utils'
import type { CallerResponse } from '../shared/callerResponse.ts'
import { EventEndTracker } from './eventEndTracker.ts'
import type { EventMemory } from './eventMemory.ts'
import { EventRate } from './eventRate.ts'
import { EVENT_TOO_LONG, EventSplitter } from './eventSplitter.ts'
import type { StreamEvent } from './eventSplitter.ts'
import type { EventTurns } from './eventTurns.ts'
import type { ForwardedResponse } from './forwardedResponses.ts'
import { TURN_BYTES } from './forwardingTurns.ts'
import type { ForwardingTurns } from './forwardingTurns.ts'
import { isEventStream } from './isEventStream.ts'

/** Bytes of events that are held back, beyond which that should end. */
export const MAX_HELD_BYTES = 128 * 1024

/** Bytes that it takes to hold back one event, besides its own. */
const HELD_EVENT_OVERHEAD_BYTES = 200

/** Result of forwarding the stream of one endpoint. */
export type RelayResult =
  | { type: 'complete' }
  /** The connection was closed early. */
  | { type: 'cut', reason: string }
  /** The bytes are no event stream. */
  | { type: 'garbled', reason: string }
  /** Another endpoint has taken over. */
  | { type: 'superseded' }
  /** The caller has left, or got another response. */
  | { type: 'callerLeft' }

/** Options for forwarding the stream of one endpoint. */
export interface RelayOptions {
  /** Time without an event after which the stream counts as stalled, in milliseconds; null for no limit. */
  stallTimeoutMs: number | null
  /** Called after each stall timeout without an event. */
  onStalled (): void
  /** Called for each chunk that arrives from the endpoint. */
  onChunk (): void
  /** Called for events that the caller does not have yet. */
  onNewEvents (): void
  /** Called when more events are held back than should be; they are kept until they are released. */
  onHeldTooMuch (): void
  /** Called before the first event of a resumable stream is forwarded, which waits for the result. */
  onFirstEvent (): Promise<void> | void
}

/** Forwards the event streams of consecutive endpoints to one caller. */
export class StreamRelay implements ForwardedResponse {
  readonly #callerResponse: CallerResponse
  readonly #isResumable: boolean
  readonly #memory: EventMemory
  readonly #eventTurns: EventTurns
  readonly #forwardingTurns: ForwardingTurns
  #lastEventId: string | null
  #bytes = 0
  #firstWriteAtMs: number | null = null
  #lastWriteAtMs: number | null = null
  #longestPauseMs = 0
  /** Response that is being forwarded; null if none is. */
  #response: http.IncomingMessage | null = null
  #isSuperseded = false
  /** Events held back, in order; null while events are forwarded as they arrive. */
  #heldEvents: StreamEvent[] | null = null
  #heldBytes = 0
  #onFirstEvent: RelayOptions['onFirstEvent'] = () => {}
  #onHeldTooMuch: () => void = () => {}
  /** Ends the wait for a caller that does not read, or for a turn. */
  #wait = new AbortController()

  constructor (callerResponse: CallerResponse, isResumable: boolean, lastEventId: string | null, memory: EventMemory, eventTurns: EventTurns, forwardingTurns: ForwardingTurns) {
    this.#callerResponse = callerResponse
    this.#memory = memory
    this.#eventTurns = eventTurns
    this.#forwardingTurns = forwardingTurns
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

  /** Bytes of the events that are held back, with what it takes to hold them. */
  get heldBytes (): number {
    return this.#heldBytes
  }

  /** Bytes that were read from the endpoint and that the caller's connection has not taken. */
  get pendingBytes (): number {
    return this.#heldBytes + this.#callerResponse.unsentBytes + (this.#response?.readableLength ?? 0)
  }

  /** Longest time between two writes to the caller, in milliseconds. */
  get longestPauseMs (): number {
    return this.#longestPauseMs
  }

  /** Forwards the stream of one endpoint. Of a resumable stream only complete events are forwarded, each at most once. */
  async forward (response: http.IncomingMessage, options: RelayOptions): Promise<RelayResult> {
    const splitter = new EventSplitter(this.#memory)
    try {
      return await this.#forwardEvents(response, splitter, options)
    } finally {
      splitter.release()
    }
  }

  async #forwardEvents (response: http.IncomingMessage, splitter: EventSplitter, options: RelayOptions): Promise<RelayResult> {
    const endTracker = new EventEndTracker()
    const eventRate = new EventRate()
    const sliceSize = new SliceSize()
    /** Time that slices with many small events took, in milliseconds. */
    let usedMs = 0
    let receivedBytes = 0
    let allowedBytes = TURN_BYTES
    let stopStallTimeout = () => {}
    this.#response = response
    this.#isSuperseded = false
    this.#onFirstEvent = options.onFirstEvent
    this.#onHeldTooMuch = options.onHeldTooMuch
    const restartStallTimeout = () => {
      stopStallTimeout()
      if (options.stallTimeoutMs !== null) stopStallTimeout = startTimeout(options.stallTimeoutMs, handleStall)
    }
    const handleStall = () => {
      options.onStalled()
      restartStallTimeout()
    }
    try {
      restartStallTimeout()
      for await (const chunk of this.#isResumable ? readSlices(response, sliceSize) : response as AsyncIterable<Buffer>) {
        // Slices of a chunk that was read before go on behind the end of their response.
        if (this.#isSuperseded) return { type: 'superseded' }
        let startedAtMs = performance.now()
        options.onChunk()
        if (this.#callerResponse.hasCallerLeft) return { type: 'callerLeft' }
        endTracker.addChunk(chunk)
        receivedBytes += chunk.length
        let events = this.#isResumable ? splitter.addChunk(chunk) : null
        if (splitter.isTooLong) return { type: 'garbled', reason: EVENT_TOO_LONG }
        // Bytes that complete no event are no progress.
        if (events === null || events.length > 0) restartStallTimeout()
        if (events?.some(event => this.#isNewEvent(event))) options.onNewEvents()
        if (this.#mustBegin(events)) {
          stopStallTimeout()
          await options.onFirstEvent()
          if (this.#callerResponse.hasCallerLeft || this.#callerResponse.phase === 'ended') return { type: 'callerLeft' }
          if (this.#isSuperseded) return { type: 'superseded' }
          restartStallTimeout()
          startedAtMs = performance.now()
        }
        const readsOn = this.#writeOrHold(chunk, events)
        const turnMs = performance.now() - startedAtMs
        eventRate.recordEvents(events?.length ?? 0)
        sliceSize.record(chunk.length, events?.length ?? 0)
        // Small events take many times the memory of their bytes, and the wait may be long.
        events = null
        if (!readsOn) {
          stopStallTimeout()
          this.#wait = new AbortController()
          if (!await this.#callerResponse.waitDrain(this.#wait.signal)) return { type: 'callerLeft' }
          if (this.#isSuperseded) return { type: 'superseded' }
          restartStallTimeout()
        }
        if (receivedBytes > allowedBytes) {
          allowedBytes = receivedBytes + TURN_BYTES
          this.#wait = new AbortController()
          if (!this.#forwardingTurns.tryTake()) await this.#forwardingTurns.wait(estimateRest(response, receivedBytes), this.#wait.signal)
          if (this.#isSuperseded) return { type: 'superseded' }
        }
        if (sliceSize.hasSmallParts) {
          usedMs += turnMs
          this.#wait = new AbortController()
          await PROCESS_TURNS.wait(usedMs, turnMs, this.#wait.signal)
          if (this.#isSuperseded) return { type: 'superseded' }
        } else if (eventRate.isExceeded) {
          this.#wait = new AbortController()
          await this.#eventTurns.wait(turnMs, this.#wait.signal)
          if (this.#isSuperseded) return { type: 'superseded' }
        }
      }
    } catch (error) {
      if (this.#callerResponse.hasCallerLeft) return { type: 'callerLeft' }
      return this.#isSuperseded ? { type: 'superseded' } : { type: 'cut', reason: (error as Error).message }
    } finally {
      stopStallTimeout()
      this.#response = null
    }
    if (this.#isSuperseded) return { type: 'superseded' }
    if (!response.complete) return { type: 'cut', reason: 'ended early' }
    if (endTracker.isInsideEvent && isEventStream(response)) return { type: 'cut', reason: 'ended inside an event' }
    this.release()
    if (splitter.incompleteEvent.length > 0) this.#write(splitter.incompleteEvent)
    return { type: 'complete' }
  }

  /** Holds back the events that arrive from now on: another endpoint is asked for the stream from here. */
  hold (): void {
    if (this.#isResumable) this.#heldEvents ??= []
  }

  /** Forwards the events held back, and from now on events as they arrive. */
  release (): void {
    const events = this.#heldEvents
    this.#heldEvents = null
    this.#heldBytes = 0
    if (events !== null && !this.#callerResponse.hasCallerLeft) this.#writeEvents(events)
  }

  /** Ends the forwarding of the current response, as another endpoint has taken over, and drops the events held back. */
  supersede (): void {
    this.#isSuperseded = true
    this.#heldEvents = null
    this.#heldBytes = 0
    this.#response?.destroy()
    this.#wait.abort()
  }

  /** Whether the first event of the stream is among these and would be forwarded now. */
  #mustBegin (events: StreamEvent[] | null): boolean {
    return events !== null && this.#heldEvents === null && this.#firstWriteAtMs === null && events.some(event => this.#isNewEvent(event))
  }

  /** Returns whether the caller reads on. */
  #writeOrHold (chunk: Buffer, events: StreamEvent[] | null): boolean {
    if (events === null) return this.#write(chunk)
    if (this.#heldEvents === null) return this.#writeEvents(events)
    for (const event of events) {
      this.#heldEvents.push(event)
      this.#heldBytes += event.bytes.length + HELD_EVENT_OVERHEAD_BYTES
    }
    if (this.#heldBytes > MAX_HELD_BYTES) this.#onHeldTooMuch()
    return true
  }

  /** Writes the events that were not forwarded before; returns whether the caller reads on. */
  #writeEvents (events: StreamEvent[]): boolean {
    const newEvents: StreamEvent[] = []
    for (const event of events) {
      if (!this.#isNewEvent(event)) continue
      newEvents.push(event)
      this.#lastEventId = event.id ?? this.#lastEventId
    }
    if (newEvents.length === 0) return true
    if (this.#firstWriteAtMs === null) this.#onFirstEvent()
    return this.#write(newEvents.length === 1 ? newEvents[0].bytes : Buffer.concat(newEvents.map(event => event.bytes)))
  }

  #isNewEvent ({ id }: StreamEvent): boolean {
    return id === null || this.#lastEventId === null || Number(id) > Number(this.#lastEventId)
  }

  #write (bytes: Buffer): boolean {
    const nowMs = performance.now()
    if (this.#lastWriteAtMs !== null) this.#longestPauseMs = Math.max(this.#longestPauseMs, nowMs - this.#lastWriteAtMs)
    this.#firstWriteAtMs ??= nowMs
    this.#lastWriteAtMs = nowMs
    this.#bytes += bytes.length
    return this.#callerResponse.write(bytes)
  }
}

/** Reads a response in slices, each of the size that is chosen once the one before it was handled. */
async function * readSlices (response: http.IncomingMessage, sliceSize: SliceSize): AsyncGenerator<Buffer> {
  for await (const chunk of response as AsyncIterable<Buffer>) {
    for (let start = 0; start < chunk.length;) {
      const slice = chunk.subarray(start, start + sliceSize.bytes)
      start += slice.length
      yield slice
    }
  }
}

/** Estimates how many bytes of a response are left; of one that states no length more than of any other. */
function estimateRest ({ headers }: http.IncomingMessage, receivedBytes: number): number {
  const length = Number(headers['content-length'] ?? NaN)
  return Number.isNaN(length) ? Number.MAX_SAFE_INTEGER / 2 + receivedBytes : length - receivedBytes
}
