import type { OrganisationName, PoolName } from 'knapweedshunt-types'

/** Options of the retry budgets. Amounts are numbers of permits, one for each additional attempt. */
export interface RetryBudgetOptions {
  /** Permits available to an organisation in a pool without recent successes. */
  reserve: number
  /** Permits earned by each success. */
  permitsPerSuccess: number
  /** Maximum number of permits. */
  maxPermits: number
  /** Time in which an empty reserve refills, in milliseconds. */
  refillMs: number
}

/** The reserve is large enough to resume the streams of one lost endpoint at once. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = { reserve: 32, permitsPerSuccess: 0.2, maxPermits: 128, refillMs: 30_000 }

interface PermitBalance {
  permits: number
  refilledAtMs: number
}

/** Smallest number of balances above which idle ones are removed. */
const MIN_SWEEP_THRESHOLD = 1_024

/** Retry budgets per organisation and pool: a reserve that refills slowly, plus a fraction of a permit per recent success. */
export class RetryBudget {
  #options: RetryBudgetOptions
  readonly #balances = new Map<string, PermitBalance>()
  #sweepThreshold = MIN_SWEEP_THRESHOLD
  /** Monotonic time at which all balances were empty. */
  readonly #emptyAtMs: number

  /** With `startsEmpty`, the reserves refill from zero: a process that restarts does not know what it has spent. */
  constructor (options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET, startsEmpty = false) {
    this.#options = options
    this.#emptyAtMs = startsEmpty ? performance.now() : -Infinity
  }

  /** Replaces the options. Balances above a new maximum are reduced at their next use. */
  setOptions (options: RetryBudgetOptions): void {
    this.#options = options
  }

  /** Number of balances held. */
  get size (): number {
    return this.#balances.size
  }

  /** Takes one permit if more than `reservedPermits` are left, which stay available for more important retries; false when the budget is spent. */
  tryTake (organisation: OrganisationName, pool: PoolName, reservedPermits = 0): boolean {
    const balance = this.#getOrCreateBalance(organisation, pool)
    if (balance.permits < 1 + reservedPermits) return false
    balance.permits--
    return true
  }

  /** Credits the budget for a successful request. */
  recordSuccess (organisation: OrganisationName, pool: PoolName): void {
    const balance = this.#getOrCreateBalance(organisation, pool)
    balance.permits = Math.min(this.#options.maxPermits, balance.permits + this.#options.permitsPerSuccess)
  }

  #getOrCreateBalance (organisation: OrganisationName, pool: PoolName): PermitBalance {
    const key = JSON.stringify([organisation, pool])
    const nowMs = performance.now()
    const balance = this.#balances.get(key) ?? this.#createBalance(nowMs)
    this.#refill(balance, nowMs)
    this.#balances.set(key, balance)
    if (this.#balances.size > this.#sweepThreshold) this.#removeIdle(nowMs)
    return balance
  }

  #createBalance (nowMs: number): PermitBalance {
    const { reserve, refillMs } = this.#options
    return { permits: Math.min(1, (nowMs - this.#emptyAtMs) / refillMs) * reserve, refilledAtMs: nowMs }
  }

  /** Moves the balance towards the reserve over time: refills it from below, and expires permits above it as the successes that earned them age. */
  #refill (balance: PermitBalance, nowMs: number): void {
    const { reserve, refillMs } = this.#options
    const step = Math.max(0, nowMs - balance.refilledAtMs) / refillMs * reserve
    balance.permits = balance.permits < reserve ? Math.min(reserve, balance.permits + step) : Math.min(this.#options.maxPermits, Math.max(reserve, balance.permits - step))
    balance.refilledAtMs = nowMs
  }

  /** Removes balances that are back at the reserve, since a new balance starts with the same value. */
  #removeIdle (nowMs: number): void {
    for (const [key, balance] of this.#balances) {
      this.#refill(balance, nowMs)
      if (balance.permits === this.#options.reserve) this.#balances.delete(key)
    }
    this.#sweepThreshold = Math.max(MIN_SWEEP_THRESHOLD, 2 * this.#balances.size)
  }
}
