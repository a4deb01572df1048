const MS_PER_SECOND = 1_000

/** Rate of a budget. */
export interface TokenBucketOptions {
  /** Calls per second. */
  ratePerS: number
  /** Calls that may be made at once after a rest. */
  burst: number
}

/** Budget of calls by the monotonic clock. Reservations are served in order. */
export class TokenBucket {
  readonly #options: TokenBucketOptions
  #tokens: number
  #atMs = performance.now()

  constructor (options: TokenBucketOptions) {
    this.#options = options
    this.#tokens = options.burst
  }

  /** Reserves one call. Returns the wait in milliseconds, or null (nothing reserved) when it is over `maxWaitMs`. */
  reserve (maxWaitMs: number): number | null {
    this.#refill()
    const waitMs = Math.max(0, (1 - this.#tokens) / this.#options.ratePerS * MS_PER_SECOND)
    if (waitMs > maxWaitMs) return null
    this.#tokens--
    return waitMs
  }

  #refill (): void {
    const nowMs = performance.now()
    const gained = (nowMs - this.#atMs) / MS_PER_SECOND * this.#options.ratePerS
    this.#tokens = Math.min(this.#options.burst, this.#tokens + gained)
    this.#atMs = nowMs
  }
}
