import type { OrganisationName, PoolName } from 'knapweedshunt-types'

/** Options of the retry budgets. */
export interface RetryBudgetOptions {
  /** Attempts that an organisation may add in a pool without recent successes. */
  reserve: number
  /** Attempts earned by each success. */
  share: number
  /** Most that can be saved. */
  max: number
  /** Time in which a spent reserve fills again, in milliseconds. */
  refillMs: number
}

/** The reserve lets one lost endpoint's streams resume at once. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = { reserve: 32, share: 0.2, max: 128, refillMs: 30_000 }

interface Balance {
  permits: number
  atMs: number
}

/** Number of balances at which idle ones are dropped. */
const SWEEP_SIZE = 1_024

/** Retry budgets per organisation and pool: a reserve that fills slowly, and a share of recent successes. */
export class RetryBudget {
  #options: RetryBudgetOptions
  readonly #balances = new Map<string, Balance>()
  #sweepSize = SWEEP_SIZE

  constructor (options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.#options = options
  }

  /** Takes other options; balances over a new maximum shrink at their next use. */
  setOptions (options: RetryBudgetOptions): void {
    this.#options = options
  }

  /** Balances held. */
  get size (): number {
    return this.#balances.size
  }

  /** Takes one permit if there is one beyond those that are to be kept for greater needs. */
  take (organisation: OrganisationName, pool: PoolName, kept = 0): boolean {
    const balance = this.#open(organisation, pool)
    if (balance.permits < 1 + kept) return false
    balance.permits--
    return true
  }

  /** A request succeeded. */
  noteSuccess (organisation: OrganisationName, pool: PoolName): void {
    const balance = this.#open(organisation, pool)
    balance.permits = Math.min(this.#options.max, balance.permits + this.#options.share)
  }

  #open (organisation: OrganisationName, pool: PoolName): Balance {
    const key = JSON.stringify([organisation, pool])
    const nowMs = performance.now()
    const balance = this.#balances.get(key) ?? { permits: this.#options.reserve, atMs: nowMs }
    this.#refill(balance, nowMs)
    this.#balances.set(key, balance)
    if (this.#balances.size > this.#sweepSize) this.#sweep(nowMs)
    return balance
  }

  /** Brings the balance towards the reserve: up by time, and savings above it down as successes grow old. */
  #refill (balance: Balance, nowMs: number): void {
    const { reserve, refillMs } = this.#options
    const step = Math.max(0, nowMs - balance.atMs) / refillMs * reserve
    balance.permits = balance.permits < reserve ? Math.min(reserve, balance.permits + step) : Math.min(this.#options.max, Math.max(reserve, balance.permits - step))
    balance.atMs = nowMs
  }

  /** Drops balances that time has brought back to the reserve; a new one would be the same. */
  #sweep (nowMs: number): void {
    for (const [key, balance] of this.#balances) {
      this.#refill(balance, nowMs)
      if (balance.permits === this.#options.reserve) this.#balances.delete(key)
    }
    this.#sweepSize = Math.max(SWEEP_SIZE, 2 * this.#balances.size)
  }
}
