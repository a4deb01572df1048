/** Share of a new sample in the mean. */
const SMOOTHING = 0.1

/** Mean time that an admitted request holds its place. */
export class ServiceMeter {
  #meanMs: number | null = null

  /** Takes the time that one request held its place. */
  note (heldMs: number): void {
    this.#meanMs = this.#meanMs === null ? heldMs : this.#meanMs + SMOOTHING * (heldMs - this.#meanMs)
  }

  /** Expected wait behind `ahead` requests at a capacity, in milliseconds; null before the first sample. */
  countWaitMs (ahead: number, capacity: number): number | null {
    return this.#meanMs === null ? null : (ahead + 1) / Math.max(1, capacity) * this.#meanMs
  }
}
