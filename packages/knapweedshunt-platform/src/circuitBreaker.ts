import type { Rng } from 'knapweedshunt-utils'

/** Thresholds of a circuit breaker. */
export interface CircuitBreakerOptions {
  /** Consecutive failures that open the breaker. */
  failureThreshold: number
  /** Mean time that the breaker stays open before it admits one trial call, in milliseconds; the actual time is jittered between 0.5 and 1.5 times the mean. */
  openMs: number
}

/** State of the breaker; `untilMs` is on the clock of `performance.now()`, and in `half-open` one trial call is in flight. */
export type CircuitBreakerState =
  | { type: 'closed', consecutiveFailures: number }
  | { type: 'open', untilMs: number }
  | { type: 'half-open' }

/** Refuses calls to a failing service, so that callers fail at once and do not wait for a timeout. */
export class CircuitBreaker {
  readonly #options: CircuitBreakerOptions
  readonly #rng: Rng
  #state: CircuitBreakerState = { type: 'closed', consecutiveFailures: 0 }

  constructor (options: CircuitBreakerOptions, rng: Rng) {
    this.#options = options
    this.#rng = rng
  }

  /** Whether a call would be refused now: the open time has not passed, or the trial call is in flight. */
  isOpen (): boolean {
    return this.#state.type === 'half-open' || (this.#state.type === 'open' && performance.now() < this.#state.untilMs)
  }

  /** Whether calls are admitted without restriction: fewer than `failureThreshold` have failed in a row. */
  isClosed (): boolean {
    return this.#state.type === 'closed'
  }

  /** Admits a call (true) or refuses it (false); the first call after the open time is the trial call. */
  admit (): boolean {
    if (this.isOpen()) return false
    if (this.#state.type === 'open') this.#state = { type: 'half-open' }
    return true
  }

  /** Records the outcome of an admitted call; must be called once for each, or a trial call keeps the breaker half-open. */
  recordOutcome (outcome: 'answered' | 'failed'): void {
    if (outcome === 'answered') {
      this.#state = { type: 'closed', consecutiveFailures: 0 }
      return
    }
    const consecutiveFailures = this.#state.type === 'closed' ? this.#state.consecutiveFailures + 1 : this.#options.failureThreshold
    if (consecutiveFailures < this.#options.failureThreshold) this.#state = { type: 'closed', consecutiveFailures }
    else this.#state = { type: 'open', untilMs: performance.now() + this.#options.openMs * (0.5 + this.#rng.drawFloat()) }
  }
}
