import { EndpointRateLimits } from 'knapweedshunt-admission'
import type { EndpointLimitReport, LimitChange } from 'knapweedshunt-admission'
import type { Logger } from 'knapweedshunt-logger'
import type { EndpointName, Incarnation, Liveness, PoolName, VmId, VmView } from 'knapweedshunt-types'
import type { EndpointEntry } from './endpointTable.ts'

const INACTIVE_STATES: Liveness[] = ['leaving', 'dead']

/** Options and collaborators of {@link EndpointLimiter}. */
export interface EndpointLimiterOptions {
  vm: VmId
  incarnation: Incarnation
  log: Logger
  /** Sends this VM's report to all peers. */
  broadcastReport (report: EndpointLimitReport): void
}

/** Keeps the rate limits that endpoints state for all VMs together, and tells peers what it knows. */
export class EndpointLimiter {
  readonly #options: EndpointLimiterOptions
  readonly #limits: EndpointRateLimits

  constructor (options: EndpointLimiterOptions) {
    this.#options = options
    this.#limits = new EndpointRateLimits(options.vm, options.incarnation)
  }

  /** Applies the VMs of a snapshot. */
  applyVms (vms: VmView[]): void {
    const active = vms.filter(view => !INACTIVE_STATES.includes(view.state)).map(view => view.vm)
    this.#limits.setVms([...new Set([this.#options.vm, ...active])])
  }

  /** Lists the endpoints that this VM may not send a request now. */
  listUsed (entries: EndpointEntry[]): EndpointName[] {
    return entries.map(({ endpoint }) => endpoint).filter(endpoint => !this.#limits.canSend(endpoint))
  }

  /** Shortest time until this VM may send one of the endpoints a request, in milliseconds; null if it has no part of their limits. */
  findWaitMs (endpoints: EndpointName[]): number | null {
    const waitMs = Math.min(...endpoints.map(endpoint => this.#limits.getWaitMs(endpoint)))
    return Number.isFinite(waitMs) ? waitMs : null
  }

  /** Counts a request of a caller for the pool. */
  recordDemand (pool: PoolName): void {
    this.#limits.recordDemand(pool)
  }

  /** Counts a request that is about to be sent; false if this VM may not send the endpoint one. */
  tryTake (endpoint: EndpointName): boolean {
    return this.#limits.tryTake(endpoint)
  }

  /** Records the limit, or its absence, in the response to an attempt. */
  recordStated (endpoint: EndpointName, pool: PoolName, requestsPerS: number | null, attemptStartedAtMs: number): void {
    const change = this.#limits.recordStated(endpoint, pool, requestsPerS, attemptStartedAtMs)
    if (change === null) return
    this.#logChange(change, '')
    this.broadcastIfNeeded()
  }

  /** Applies the report of a peer. */
  applyReport (vm: VmId, incarnation: Incarnation, report: EndpointLimitReport): void {
    for (const change of this.#limits.applyReport(vm, incarnation, report)) this.#logChange(change, vm)
  }

  /** Sends this VM's report to all peers if they lack what is in it. */
  broadcastIfNeeded (): void {
    this.#limits.update(performance.now())
    if (!this.#limits.needsReport()) return
    const report = this.#limits.buildReport()
    this.#limits.applyReport(this.#options.vm, this.#options.incarnation, report)
    this.#options.broadcastReport(report)
  }

  #logChange ({ endpoint, requestsPerS, previousPerS }: LimitChange, from: VmId): void {
    this.#options.log.warn('Rate limit of endpoint changed.', { endpoint, requestsPerS, previousPerS, from, ownRatePerS: requestsPerS === null ? null : this.#limits.getOwnRatePerS(endpoint) })
  }
}
