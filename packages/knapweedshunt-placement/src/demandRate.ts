/** Time over which demand is averaged, in milliseconds. */
const MEAN_MS = 10_000

/** Least time that a new key's demand is spread over, in milliseconds. */
const LEAST_MS = 1_000

/** Decayed rate of tokens under one key; right from the first second on, not only after the averaging time. */
export class DemandRate {
  #sum = 0
  #atMs: number
  readonly #bornMs: number

  constructor (nowMs: number) {
    this.#atMs = nowMs
    this.#bornMs = nowMs
  }

  /** Adds tokens, or takes off what was added too much. */
  add (tokens: number, nowMs: number): void {
    this.#sum = Math.max(0, this.#sum * Math.exp((this.#atMs - nowMs) / MEAN_MS) + tokens)
    this.#atMs = nowMs
  }

  /** Tokens per second. */
  countTokensPerS (nowMs: number): number {
    const sum = this.#sum * Math.exp((this.#atMs - nowMs) / MEAN_MS)
    const ageMs = Math.max(LEAST_MS, nowMs - this.#bornMs)
    return sum * 1_000 / (MEAN_MS * (1 - Math.exp(-ageMs / MEAN_MS)))
  }
}
