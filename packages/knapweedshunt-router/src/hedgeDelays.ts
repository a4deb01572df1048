import { DelayQuantile } from 'knapweedshunt-attempts'
import type { PoolName } from 'knapweedshunt-types'
import type { CallerRequest } from './callerRequest.ts'

/** Share of first tokens that come before a hedge. */
const HEDGE_QUANTILE = 0.95

/** Delay to the first token per pool, after which a short job is tried on a second endpoint. */
export class HedgeDelays {
  readonly #quantiles = new Map<PoolName, DelayQuantile>()

  /** Takes a delay in milliseconds. */
  note (pool: PoolName, delayMs: number): void {
    const quantile = this.#quantiles.get(pool) ?? new DelayQuantile(HEDGE_QUANTILE)
    this.#quantiles.set(pool, quantile)
    quantile.record(delayMs)
  }

  /** Wait before a hedge of the request in milliseconds, null for none. */
  read (request: CallerRequest): number | null {
    const isHedged = request.repeatable && request.job === 'short' && request.work.type === 'completion'
    return isHedged ? this.#quantiles.get(request.pool)?.getValueMs() ?? null : null
  }
}
