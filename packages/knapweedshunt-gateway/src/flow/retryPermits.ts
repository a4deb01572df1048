import type { EndpointName } from 'knapweedshunt-types'
import type { EndpointScope } from '../endpoints/endpointScope.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Maximum number of retries after endpoints that report that they did not run the request. */
const MAX_NOT_RUN_RETRIES = 3

/** Decides whether one request may be retried: limited by the route's number of endpoints, the deadline and the retry budget of the pool. */
export class RetryPermits {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  /** Number of endpoints that run or may have run the request. */
  #possibleExecutionCount = 0
  /** Number of them before another VM relayed the request to this one. */
  readonly #earlierCount: number
  /** Counted endpoints that have the request no longer and had not answered it. */
  readonly #unneededEndpoints = new Set<EndpointName>()
  /** Number of endpoints that reported that they did not run the request. */
  #rejectionCount = 0
  /** Whether a permit was taken from the budget and is not used yet. */
  #hasReservedPermit = false

  constructor (dependencies: FlowDependencies, plan: RequestPlan) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#earlierCount = plan.relayed === null ? 0 : Math.max(0, plan.route.maxEndpoints - plan.relayed.endpointsLeft)
    this.#possibleExecutionCount = this.#earlierCount
  }

  /** Number of endpoints to which the request may still be sent. */
  get endpointsLeft (): number {
    return Math.max(0, this.#plan.route.maxEndpoints - this.#possibleExecutionCount)
  }

  /** Number of endpoints that have or may have run the request for this VM. */
  get ownExecutionCount (): number {
    return this.#possibleExecutionCount - this.#earlierCount
  }

  /** Which endpoints may be chosen for the next attempt. */
  get scope (): EndpointScope {
    return this.endpointsLeft > 0 ? { type: 'untriedFirst' } : { type: 'only', endpoints: [...this.#unneededEndpoints] }
  }

  /** Records that the request was sent to an endpoint, or, with `endpoint` null, to a VM that may send it to `endpointCount`. */
  recordSent (endpointCount: number, endpoint: EndpointName | null): void {
    if (endpoint !== null && this.#unneededEndpoints.delete(endpoint)) return
    this.#possibleExecutionCount += endpointCount
  }

  /** Records that an attempt was cancelled before its response, as it was not needed: its endpoint is counted, so the request may be sent there again. */
  recordUnneeded ({ target, attempt }: RunningAttempt): void {
    if (target.type === 'endpoint' && !attempt.hasResponse) this.#unneededEndpoints.add(target.record.entry.endpoint)
  }

  /** Records to how many endpoints the other VM has sent the request. */
  recordRelayed (runningAttempt: RunningAttempt, endpointCount: number): void {
    this.#possibleExecutionCount += endpointCount - runningAttempt.countedEndpoints
    runningAttempt.countedEndpoints = endpointCount
  }

  /** Records that no endpoint ran the attempt, so it does not count towards the limit. */
  recordNotRun (runningAttempt: RunningAttempt): void {
    this.#possibleExecutionCount -= runningAttempt.countedEndpoints
    runningAttempt.countedEndpoints = 0
  }

  /** Records that an endpoint rejected the attempt. */
  recordRejected (runningAttempt: RunningAttempt): void {
    this.#rejectionCount++
    this.recordNotRun(runningAttempt)
  }

  /** Uses the reserved permit or takes one from the budget; false if the request must not be retried. An optional retry uses only permits earned by successes. */
  tryTake (isOptional: boolean): boolean {
    const { body, deadlineAtMs, pool } = this.#plan
    if ((this.endpointsLeft === 0 && this.#unneededEndpoints.size === 0) || this.#rejectionCount > MAX_NOT_RUN_RETRIES || body.type === 'streamed' || performance.now() >= deadlineAtMs) return false
    const hasReservedPermit = this.#hasReservedPermit
    this.#hasReservedPermit = false
    return hasReservedPermit || this.#dependencies.tryTakeRetry(pool, isOptional)
  }

  /** Reserves one permit for the next retry; false if there is none. */
  tryReserve (isOptional: boolean): boolean {
    this.#hasReservedPermit = this.tryTake(isOptional)
    return this.#hasReservedPermit
  }
}
