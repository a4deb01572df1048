const MS_PER_SECOND = 1_000

/** Options of a token bucket. */
export interface TokenBucketOptions {
  /** Time whose tokens the bucket holds at most, in milliseconds; it always holds one token. */
  capacityMs: number
  /** Whether it is full at the start; otherwise it is empty. */
  isFullAtStart: boolean
}

/** Defaults of {@link TokenBucket}. */
export const DEFAULT_TOKEN_BUCKET_OPTIONS: TokenBucketOptions = { capacityMs: MS_PER_SECOND, isFullAtStart: true }

/** Token bucket whose rate may change between calls. */
export class TokenBucket {
  readonly #options: TokenBucketOptions
  #tokens: number
  #refilledAtMs: number

  constructor (ratePerSecond: number, nowMs: number, options: TokenBucketOptions = DEFAULT_TOKEN_BUCKET_OPTIONS) {
    this.#options = options
    this.#tokens = options.isFullAtStart ? this.#computeCapacity(ratePerSecond) : 0
    this.#refilledAtMs = nowMs
  }

  /** Takes one token; false when none is available. */
  tryTake (ratePerSecond: number, nowMs: number): boolean {
    this.refill(ratePerSecond, nowMs)
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }

  /** Time until a token is available, in milliseconds. */
  getWaitMs (ratePerSecond: number): number {
    return this.#tokens >= 1 ? 0 : (1 - this.#tokens) / ratePerSecond * MS_PER_SECOND
  }

  /** Adds the tokens since the last call, at the rate given. */
  refill (ratePerSecond: number, nowMs: number): void {
    const addedTokens = (nowMs - this.#refilledAtMs) / MS_PER_SECOND * ratePerSecond
    this.#tokens = Math.min(this.#computeCapacity(ratePerSecond), this.#tokens + Math.max(0, addedTokens))
    this.#refilledAtMs = nowMs
  }

  #computeCapacity (ratePerSecond: number): number {
    return Math.max(1, ratePerSecond * this.#options.capacityMs / MS_PER_SECOND)
  }
}
