import type { FlowParts } from './flowParts.ts'
import type { RequestPlan } from './requestPlan.ts'

/** Decides whether one request may be sent once more: within its route's endpoints, its time and the budget of all repeats. */
export class RepeatPermits {
  readonly #parts: FlowParts
  readonly #plan: RequestPlan
  /** Endpoints that run or may have run the request. */
  #sentTo = 0
  /** A repeat was taken from the budget and not used yet. */
  #isReserved = false

  constructor (parts: FlowParts, plan: RequestPlan) {
    this.#parts = parts
    this.#plan = plan
  }

  /** The request was sent to an endpoint. */
  noteSent (): void {
    this.#sentTo++
  }

  /** The endpoint asked last did not run the request: it is none of those that it was run on. */
  noteNotRun (): void {
    this.#sentTo--
  }

  /** Takes one repeat, unless one was reserved; an optional one uses only what successes have saved. */
  take (isOptional: boolean): boolean {
    const { route, body, deadlineAtMs, pool } = this.#plan
    if (this.#sentTo >= route.maxEndpoints || body.type === 'flowing' || performance.now() >= deadlineAtMs) return false
    const isReserved = this.#isReserved
    this.#isReserved = false
    return isReserved || this.#parts.takeRetry(pool, isOptional)
  }

  /** Takes one repeat for the next step. */
  reserve (): boolean {
    this.#isReserved = this.take(false)
    return this.#isReserved
  }
}
