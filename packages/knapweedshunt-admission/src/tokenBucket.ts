const MS_PER_SECOND = 1_000

/** Token bucket whose rate may change between calls. Its capacity is one second's tokens, but at least one token. */
export class TokenBucket {
  #tokens: number
  #refilledAtMs: number

  constructor (ratePerSecond: number, nowMs: number) {
    this.#tokens = Math.max(1, ratePerSecond)
    this.#refilledAtMs = nowMs
  }

  /** Takes one token; false when none is available. */
  tryTake (ratePerSecond: number, nowMs: number): boolean {
    this.#refill(ratePerSecond, nowMs)
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }

  /** Time until a token is available, in milliseconds. */
  getWaitMs (ratePerSecond: number): number {
    return this.#tokens >= 1 ? 0 : (1 - this.#tokens) / ratePerSecond * MS_PER_SECOND
  }

  #refill (ratePerSecond: number, nowMs: number): void {
    const addedTokens = (nowMs - this.#refilledAtMs) / MS_PER_SECOND * ratePerSecond
    this.#tokens = Math.min(Math.max(1, ratePerSecond), this.#tokens + Math.max(0, addedTokens))
    this.#refilledAtMs = nowMs
  }
}
