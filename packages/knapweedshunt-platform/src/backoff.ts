import type { Rng } from 'knapweedshunt-utils'

/** Growth of the delay between tries. */
export interface BackoffOptions {
  /** Mean of the first delay, in milliseconds. */
  firstMs: number
  /** Bound on the mean, in milliseconds. */
  maxMs: number
}

/** Delays between tries of one call: doubling, each drawn between half and one and a half of its mean. */
export class Backoff {
  readonly #options: BackoffOptions
  readonly #rng: Rng
  #tries = 0

  constructor (options: BackoffOptions, rng: Rng) {
    this.#options = options
    this.#rng = rng
  }

  /** Draws the next delay, in milliseconds. */
  drawDelay (): number {
    const meanMs = Math.min(this.#options.maxMs, this.#options.firstMs * 2 ** this.#tries)
    this.#tries++
    return meanMs * (0.5 + this.#rng.float())
  }
}
