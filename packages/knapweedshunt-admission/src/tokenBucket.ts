const MS_PER_SECOND = 1_000

/** Token bucket whose rate may change. Holds at most one second's tokens, and at least one. */
export class TokenBucket {
  #tokens: number
  #atMs: number

  constructor (ratePerSecond: number, nowMs: number) {
    this.#tokens = Math.max(1, ratePerSecond)
    this.#atMs = nowMs
  }

  /** Takes one token if there is one. */
  take (ratePerSecond: number, nowMs: number): boolean {
    this.#refill(ratePerSecond, nowMs)
    if (this.#tokens < 1) return false
    this.#tokens--
    return true
  }

  /** Time until a token is there, in milliseconds. */
  countWaitMs (ratePerSecond: number): number {
    return this.#tokens >= 1 ? 0 : (1 - this.#tokens) / ratePerSecond * MS_PER_SECOND
  }

  #refill (ratePerSecond: number, nowMs: number): void {
    const gained = (nowMs - this.#atMs) / MS_PER_SECOND * ratePerSecond
    this.#tokens = Math.min(Math.max(1, ratePerSecond), this.#tokens + Math.max(0, gained))
    this.#atMs = nowMs
  }
}
