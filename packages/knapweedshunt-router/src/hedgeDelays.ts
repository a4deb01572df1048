import { DelayQuantile } from 'knapweedshunt-attempts'
import type { PoolName } from 'knapweedshunt-types'
import type { CallerRequest } from './callerRequest.ts'

/** Quantile of the time to first token after which a hedged request is sent. */
const HEDGE_QUANTILE = 0.95

/** Tracks the time to first token per pool and derives the delay after which a short job is hedged on a second endpoint. */
export class HedgeDelays {
  readonly #quantiles = new Map<PoolName, DelayQuantile>()

  /** Records a time to first token, in milliseconds. */
  recordDelay (pool: PoolName, delayMs: number): void {
    const quantile = this.#quantiles.get(pool) ?? new DelayQuantile(HEDGE_QUANTILE)
    this.#quantiles.set(pool, quantile)
    quantile.record(delayMs)
  }

  /** Returns the delay before a hedged attempt, in milliseconds; null when the request is not hedged or its pool has no measurements yet. */
  getDelayMs (request: CallerRequest): number | null {
    const isHedged = request.repeatable && request.job === 'short' && request.work.type === 'completion'
    return isHedged ? this.#quantiles.get(request.pool)?.getValueMs() ?? null : null
  }
}
