import type { Rng } from 'knapweedshunt-utils'

/** Parameters of exponential backoff between the attempts of one call. */
export interface BackoffOptions {
  /** Mean of the first delay, in milliseconds; doubled at each retry. */
  initialDelayMs: number
  /** Upper bound of the mean delay, in milliseconds. */
  maxDelayMs: number
}

/** Exponential backoff with jitter for the retries of one call: the mean doubles, each delay is uniform between 0.5 and 1.5 times its mean. */
export class Backoff {
  readonly #options: BackoffOptions
  readonly #rng: Rng
  #retries = 0

  constructor (options: BackoffOptions, rng: Rng) {
    this.#options = options
    this.#rng = rng
  }

  /** Returns the delay before the next retry, in milliseconds, and counts that retry. */
  drawDelay (): number {
    const meanMs = Math.min(this.#options.maxDelayMs, this.#options.initialDelayMs * 2 ** this.#retries)
    this.#retries++
    return meanMs * (0.5 + this.#rng.drawFloat())
  }
}
