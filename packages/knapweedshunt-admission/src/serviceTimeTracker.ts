/** Weight of a new sample in the moving average. */
const SMOOTHING = 0.1

/** Exponential moving average of the time from admission to the end of a request. */
export class ServiceTimeTracker {
  #meanMs: number | null = null

  /** Records the service time of one request, in milliseconds. */
  record (heldMs: number): void {
    this.#meanMs = this.#meanMs === null ? heldMs : this.#meanMs + SMOOTHING * (heldMs - this.#meanMs)
  }

  /** Expected wait behind `requestsAhead` requests at a capacity, in milliseconds; null before the first sample. */
  estimateWaitMs (requestsAhead: number, capacity: number): number | null {
    return this.#meanMs === null ? null : (requestsAhead + 1) / Math.max(1, capacity) * this.#meanMs
  }
}
