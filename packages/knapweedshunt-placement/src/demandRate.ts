/** Time constant of the exponential average, in milliseconds. */
const AVERAGING_MS = 10_000

/** Minimum time over which the demand of a new key is averaged, in milliseconds. */
const MIN_AGE_MS = 1_000

/** Exponentially decayed token rate of one key. Corrected for the age of the key, so that it is unbiased from the first second on. */
export class DemandRate {
  #decayedTokens = 0
  #updatedAtMs: number
  readonly #createdAtMs: number

  constructor (nowMs: number) {
    this.#updatedAtMs = nowMs
    this.#createdAtMs = nowMs
  }

  /** Adds tokens; a negative number corrects an earlier overestimate. */
  add (tokens: number, nowMs: number): void {
    this.#decayedTokens = Math.max(0, this.#decayedTokens * Math.exp((this.#updatedAtMs - nowMs) / AVERAGING_MS) + tokens)
    this.#updatedAtMs = nowMs
  }

  /** Computes the current rate in tokens per second. */
  countTokensPerS (nowMs: number): number {
    const sum = this.#decayedTokens * Math.exp((this.#updatedAtMs - nowMs) / AVERAGING_MS)
    const ageMs = Math.max(MIN_AGE_MS, nowMs - this.#createdAtMs)
    return sum * 1_000 / (AVERAGING_MS * (1 - Math.exp(-ageMs / AVERAGING_MS)))
  }
}
