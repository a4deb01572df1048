import { runEvery } from 'knapweedshunt-utils'

/** Interval of the timer that is watched, in milliseconds. */
const INTERVAL_MS = 100

/** Delay from which on it is reported, in milliseconds. */
const REPORTED_DELAY_MS = 200

/** Number of long delays that are kept. */
const MAX_KEPT_DELAYS = 5

/** Measures for how long the process does nothing: how late its timers run. */
export class DelayWatch {
  readonly #onHeldUp: (delayMs: number) => void
  #maxDelayMs = 0
  /** Monotonic times of the last delays that were reported, latest first. */
  #reportedAtMs: number[] = []

  /** `onHeldUp` is called after each long delay, in milliseconds. */
  constructor (onHeldUp: (delayMs: number) => void) {
    this.#onHeldUp = onHeldUp
  }

  /** Returns the longest delay since the last call, in milliseconds. */
  takeMaxDelayMs (): number {
    const delayMs = this.#maxDelayMs
    this.#maxDelayMs = 0
    return delayMs
  }

  /** Counts the long delays that ended within this time, in milliseconds, up to a few. */
  countLongDelays (withinMs: number): number {
    const sinceMs = performance.now() - withinMs
    return this.#reportedAtMs.filter(atMs => atMs > sinceMs).length
  }

  /** Watches until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    let expectedAtMs = performance.now()
    await runEvery(INTERVAL_MS, signal, () => {
      const nowMs = performance.now()
      const delayMs = Math.max(0, nowMs - expectedAtMs)
      expectedAtMs = nowMs + INTERVAL_MS
      this.#maxDelayMs = Math.max(this.#maxDelayMs, delayMs)
      if (delayMs < REPORTED_DELAY_MS) return
      this.#reportedAtMs = [nowMs, ...this.#reportedAtMs].slice(0, MAX_KEPT_DELAYS)
      this.#onHeldUp(delayMs)
    })
  }
}
