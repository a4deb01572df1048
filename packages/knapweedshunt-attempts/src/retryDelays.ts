import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { AttemptOptions } from './attemptOptions.ts'

/** Delays before the next attempts of one request, with jitter. */
export class RetryDelays {
  readonly #options: AttemptOptions
  readonly #rng: Rng
  #backoffCount = 0

  constructor (options: AttemptOptions) {
    this.#options = options
    this.#rng = createRng(options.seed)
  }

  /** Whether a backoff was drawn. */
  get hasBackedOff (): boolean {
    return this.#backoffCount > 0
  }

  /** Draws the next exponential backoff, in milliseconds. */
  drawBackoffMs (): number {
    const { backoffMs, maxBackoffMs } = this.#options
    const baseMs = Math.min(maxBackoffMs, backoffMs * 2 ** this.#backoffCount)
    this.#backoffCount++
    return Math.round(baseMs * (0.5 + this.#rng.drawFloat()))
  }

  /** Draws the time after which the caller may try again, between the given one and twice as much, in milliseconds. */
  drawRetryAfterMs (retryAfterMs: number): number {
    return Math.round(retryAfterMs * (1 + this.#rng.drawFloat()))
  }
}
