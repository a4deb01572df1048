import type { FlowDependencies } from './flowDependencies.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Decides whether one request may be retried: limited by the route's number of endpoints, the deadline and the retry budget of the pool. */
export class RetryPermits {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  /** Number of endpoints that run or may have run the request. */
  #possibleExecutionCount = 0
  /** Whether a permit was taken from the budget and is not used yet. */
  #hasReservedPermit = false

  constructor (dependencies: FlowDependencies, plan: RequestPlan) {
    this.#dependencies = dependencies
    this.#plan = plan
  }

  /** Records that the request was sent to an endpoint. */
  recordSent (): void {
    this.#possibleExecutionCount++
  }

  /** Records that the last endpoint did not run the request, so it does not count towards the limit. */
  recordNotRun (): void {
    this.#possibleExecutionCount--
  }

  /** Uses the reserved permit or takes one from the budget; false if the request must not be retried. An optional retry uses only permits earned by successes. */
  tryTake (isOptional: boolean): boolean {
    const { route, body, deadlineAtMs, pool } = this.#plan
    if (this.#possibleExecutionCount >= route.maxEndpoints || body.type === 'streamed' || performance.now() >= deadlineAtMs) return false
    const hasReservedPermit = this.#hasReservedPermit
    this.#hasReservedPermit = false
    return hasReservedPermit || this.#dependencies.tryTakeRetry(pool, isOptional)
  }

  /** Reserves one permit for the next retry; false if there is none. */
  tryReserve (): boolean {
    this.#hasReservedPermit = this.tryTake(false)
    return this.#hasReservedPermit
  }
}
