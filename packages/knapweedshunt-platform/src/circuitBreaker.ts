import type { Rng } from 'knapweedshunt-utils'

/** When the breaker opens and for how long. */
export interface BreakerOptions {
  /** Failures in a row that open it. */
  failures: number
  /** Mean time it stays open before one trial call, in milliseconds. */
  openMs: number
}

/** State of the breaker: `half-open` has one trial call in flight. */
export type BreakerState =
  | { type: 'closed', failures: number }
  | { type: 'open', untilMs: number }
  | { type: 'half-open' }

/** Stops calls to a service that fails, so that nobody waits for it. */
export class CircuitBreaker {
  readonly #options: BreakerOptions
  readonly #rng: Rng
  #state: BreakerState = { type: 'closed', failures: 0 }

  constructor (options: BreakerOptions, rng: Rng) {
    this.#options = options
    this.#rng = rng
  }

  /** Whether a call would be refused now. */
  isOpen (): boolean {
    return this.#state.type === 'half-open' || (this.#state.type === 'open' && performance.now() < this.#state.untilMs)
  }

  /** Whether the last calls were answered. */
  isClosed (): boolean {
    return this.#state.type === 'closed'
  }

  /** Admits a call, or refuses it; the first after the open time is the trial. */
  admit (): boolean {
    if (this.isOpen()) return false
    if (this.#state.type === 'open') this.#state = { type: 'half-open' }
    return true
  }

  /** Takes the result of an admitted call. */
  take (event: 'answered' | 'failed'): void {
    if (event === 'answered') {
      this.#state = { type: 'closed', failures: 0 }
      return
    }
    const failures = this.#state.type === 'closed' ? this.#state.failures + 1 : this.#options.failures
    if (failures < this.#options.failures) this.#state = { type: 'closed', failures }
    else this.#state = { type: 'open', untilMs: performance.now() + this.#options.openMs * (0.5 + this.#rng.float()) }
  }
}
