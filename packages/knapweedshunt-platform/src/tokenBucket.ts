const MS_PER_SECOND = 1_000

/** Rate and size of a token bucket. */
export interface TokenBucketOptions {
  /** Tokens added per second; one call takes one token. */
  ratePerS: number
  /** Capacity of the bucket: calls that may be made at once when it is full. */
  burst: number
}

/** Token bucket on the monotonic clock. A reservation may make the number of tokens negative, so that later ones wait longer and calls proceed in order. */
export class TokenBucket {
  readonly #options: TokenBucketOptions
  #tokens: number
  #refilledAtMs = performance.now()

  constructor (options: TokenBucketOptions) {
    this.#options = options
    this.#tokens = options.burst
  }

  /** Takes one token. Returns the wait until it is available in milliseconds, or null (no token taken) if that exceeds `maxWaitMs`. */
  reserve (maxWaitMs: number): number | null {
    this.#refill()
    const waitMs = Math.max(0, (1 - this.#tokens) / this.#options.ratePerS * MS_PER_SECOND)
    if (waitMs > maxWaitMs) return null
    this.#tokens--
    return waitMs
  }

  #refill (): void {
    const nowMs = performance.now()
    const gainedTokens = (nowMs - this.#refilledAtMs) / MS_PER_SECOND * this.#options.ratePerS
    this.#tokens = Math.min(this.#options.burst, this.#tokens + gainedTokens)
    this.#refilledAtMs = nowMs
  }
}
