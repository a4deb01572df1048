/** Events that a stream may send at any rate, and a second beyond them; far above the rate at which an engine produces tokens. */
const MAX_BURST_EVENTS = 4_000
const MAX_EVENTS_PER_S = 2_000

const MS_PER_SECOND = 1_000

/** Tells whether one stream sends so many events that it must leave turns to other work. */
export class EventRate {
  #allowedEvents = MAX_BURST_EVENTS
  #countedAtMs = performance.now()

  /** Whether the events counted so far exceed what a stream may send. */
  get isExceeded (): boolean {
    return this.#allowedEvents === 0
  }

  /** Counts events that have arrived. */
  recordEvents (count: number): void {
    const nowMs = performance.now()
    const refilled = Math.min(MAX_BURST_EVENTS, this.#allowedEvents + (nowMs - this.#countedAtMs) * MAX_EVENTS_PER_S / MS_PER_SECOND)
    this.#countedAtMs = nowMs
    this.#allowedEvents = Math.max(0, refilled - count)
  }
}
