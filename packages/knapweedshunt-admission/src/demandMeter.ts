/** Time constant of the measured rate, in milliseconds. */
const DECAY_MS = 1_000
const MS_PER_SECOND = 1_000

/** Rate of events, decaying exponentially. */
export class DemandMeter {
  #count = 0
  #atMs: number

  constructor (nowMs: number) {
    this.#atMs = nowMs
  }

  /** Counts one event. */
  add (nowMs: number): void {
    this.#decay(nowMs)
    this.#count++
  }

  /** Events per second. */
  read (nowMs: number): number {
    this.#decay(nowMs)
    return this.#count / DECAY_MS * MS_PER_SECOND
  }

  #decay (nowMs: number): void {
    this.#count *= Math.exp(-Math.max(0, nowMs - this.#atMs) / DECAY_MS)
    this.#atMs = nowMs
  }
}
