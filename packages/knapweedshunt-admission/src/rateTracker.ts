/** Default time constant of the exponential decay, in milliseconds. */
const DECAY_MS = 1_000
const MS_PER_SECOND = 1_000

/** Exponentially decaying event rate. */
export class RateTracker {
  readonly #decayMs: number
  #count = 0
  #updatedAtMs: number

  constructor (nowMs: number, decayMs = DECAY_MS) {
    this.#decayMs = decayMs
    this.#updatedAtMs = nowMs
  }

  /** Counts one event. */
  record (nowMs: number): void {
    this.#decay(nowMs)
    this.#count++
  }

  /** Current rate in events per second. */
  getRatePerS (nowMs: number): number {
    this.#decay(nowMs)
    return this.#count / this.#decayMs * MS_PER_SECOND
  }

  #decay (nowMs: number): void {
    this.#count *= Math.exp(-Math.max(0, nowMs - this.#updatedAtMs) / this.#decayMs)
    this.#updatedAtMs = nowMs
  }
}
