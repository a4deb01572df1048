import { RetryBudget } from 'knapweedshunt-attempts'
import type { RetryBudgetOptions } from 'knapweedshunt-attempts'
import type { PoolName } from 'knapweedshunt-types'
import type { VmSettings } from '../ports/vmSettings.ts'

/** Share of the allowed repeats that this VM's part is cut from; the rest covers VMs that come and go. */
const BUDGET_SHARE = 0.8

/** Share of the allowed ratio of repeats that is used; only requests that went well are counted, which is a margin already. */
const BUDGET_RATIO = 0.95

/** One organisation's worth of budget: repeats are bounded by pool only. */
const ALL = ''

/** This VM's part of the repeats that all VMs together may send: a share of its own successes, and its part of those allowed beside. */
export class SharedBudget {
  readonly #budget: RetryBudget
  #options: RetryBudgetOptions

  constructor (settings: VmSettings, vms: number) {
    this.#options = buildOptions(settings, vms)
    this.#budget = new RetryBudget(this.#options)
  }

  /** Cuts the part anew after a change of the settings or the number of VMs. */
  share (settings: VmSettings, vms: number): void {
    this.#options = buildOptions(settings, vms)
    this.#budget.setOptions(this.#options)
  }

  /** Takes one repeat; an optional one leaves the part that is not earned by successes to others. */
  take (pool: PoolName, isOptional: boolean): boolean {
    return this.#budget.tryTake(ALL, pool, isOptional ? this.#options.reserve : 0)
  }

  /** A request of the pool went well. */
  noteSuccess (pool: PoolName): void {
    this.#budget.recordSuccess(ALL, pool)
  }
}

function buildOptions ({ retrySlack, retryShare, retryWindowMs }: VmSettings, vms: number): RetryBudgetOptions {
  const reserve = retrySlack * BUDGET_SHARE / 2 / vms
  return { reserve, permitsPerSuccess: retryShare * BUDGET_RATIO, maxPermits: reserve * 2, refillMs: retryWindowMs }
}
