import { RetryBudget } from 'knapweedshunt-attempts'
import type { RetryBudgetOptions } from 'knapweedshunt-attempts'
import type { PoolName } from 'knapweedshunt-types'
import type { VmSettings } from '../ports/vmSettings.ts'

/** Share of the allowed retry reserve that is divided among the VMs; the remainder covers changes in the number of VMs. */
const USED_RESERVE_SHARE = 0.8

/** Share of the allowed retry ratio that is used. Only successful requests are counted, which is a margin in itself. */
const USED_RATIO_SHARE = 0.95

/** Organisation name for all requests: retries are limited per pool only. */
const ALL_ORGANISATIONS = ''

/** This VM's part of the retry budget of all VMs: a ratio of its own successful requests plus its share of the reserve. */
export class VmRetryBudget {
  readonly #retryBudget: RetryBudget
  #options: RetryBudgetOptions

  constructor (settings: VmSettings, vmCount: number) {
    this.#options = buildRetryBudgetOptions(settings, vmCount)
    this.#retryBudget = new RetryBudget(this.#options, true)
  }

  /** Recalculates this VM's share after a change of the settings or the number of VMs. */
  updateShare (settings: VmSettings, vmCount: number): void {
    this.#options = buildRetryBudgetOptions(settings, vmCount)
    this.#retryBudget.setOptions(this.#options)
  }

  /** Takes one retry permit; false when the budget is spent. An optional retry leaves the reserve to others. */
  tryTake (pool: PoolName, isOptional: boolean): boolean {
    return this.#retryBudget.tryTake(ALL_ORGANISATIONS, pool, isOptional ? this.#options.reserve : 0)
  }

  /** Credits the budget for a successful request of the pool. */
  recordSuccess (pool: PoolName): void {
    this.#retryBudget.recordSuccess(ALL_ORGANISATIONS, pool)
  }
}

function buildRetryBudgetOptions ({ retryReserve, retryRatio, retryWindowMs }: VmSettings, vmCount: number): RetryBudgetOptions {
  const reserve = retryReserve * USED_RESERVE_SHARE / 2 / vmCount
  return { reserve, permitsPerSuccess: retryRatio * USED_RATIO_SHARE, maxPermits: reserve * 2, refillMs: retryWindowMs }
}
