import { EndpointRateLimits, EndpointBackpressure } from 'knapweedshunt-admission'
import type { EndpointLimitReport, EndpointUse, LimitChange, BackpressureSignals } from 'knapweedshunt-admission'
import type { Logger } from 'knapweedshunt-logger'
import type { EndpointName, Incarnation, Liveness, PoolName, VmId, VmView } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { EndpointEntry } from './endpointTable.ts'

const INACTIVE_STATES: Liveness[] = ['leaving', 'dead']

/** Options and collaborators of {@link EndpointLimiter}. */
export interface EndpointLimiterOptions {
  vm: VmId
  incarnation: Incarnation
  log: Logger
  /** Requests of this VM that an endpoint has under way. */
  countInFlight (endpoint: EndpointName): number
  /** Sends this VM's report to all peers. */
  broadcastReport (report: EndpointLimitReport): void
}

/** Requests that an endpoint which is brittle is taken to run at a time; it does not state how many. */
const ASSUMED_SLOTS = 16

/** Keeps what endpoints state in their responses: rate limits for all VMs together, of which it tells peers, and backpressure on this VM. */
export class EndpointLimiter {
  readonly #options: EndpointLimiterOptions
  readonly #limits: EndpointRateLimits
  readonly #backpressure = new EndpointBackpressure()
  #vmCount = 1

  constructor (options: EndpointLimiterOptions) {
    this.#options = options
    this.#limits = new EndpointRateLimits(options.vm, options.incarnation)
  }

  /** Applies the VMs of a snapshot. */
  applyVms (vms: VmView[]): void {
    const active = vms.filter(view => !INACTIVE_STATES.includes(view.state)).map(view => view.vm)
    const vmNames = [...new Set([this.#options.vm, ...active])]
    this.#vmCount = vmNames.length
    this.#limits.setVms(vmNames)
  }

  /** Applies the endpoints of a snapshot: the backpressure of others is forgotten. */
  applyEndpoints (entries: EndpointEntry[]): void {
    this.#backpressure.retain(new Set(entries.map(({ endpoint, incarnation }) => buildIncarnationKey(endpoint, incarnation))))
  }

  /** Lists the endpoints that this VM may not send a request now. */
  listUsed (entries: EndpointEntry[]): EndpointName[] {
    return entries.filter(entry => !this.canSend(entry)).map(({ endpoint }) => endpoint)
  }

  /** Whether this VM may send the endpoint a request now. */
  canSend (entry: EndpointEntry): boolean {
    return this.#getWaitMs(entry) === 0
  }

  /** Shortest time until this VM may send one of the endpoints a request, in milliseconds; null if it may not. */
  findWaitMs (entries: EndpointEntry[]): number | null {
    const waitMs = Math.min(...entries.map(entry => this.#getWaitMs(entry)))
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

  /** Records what the response to an attempt states of back-off, leaving and brittleness. */
  recordSignals ({ endpoint, incarnation, pool }: Pick<EndpointEntry, 'endpoint' | 'incarnation' | 'pool'>, signals: BackpressureSignals, attemptStartedAtMs: number): void {
    const { backoffMs, isLeaving, maxRejectionsPerS } = signals
    if (backoffMs !== null || isLeaving || maxRejectionsPerS !== null) this.#options.log.debug('Backpressure of endpoint.', { endpoint, incarnation, backoffMs, isLeaving, maxRejectionsPerS })
    this.#backpressure.recordResponse(buildIncarnationKey(endpoint, incarnation), pool, signals, attemptStartedAtMs, this.#getUse(endpoint))
  }

  /** Whether the end of an endpoint of the pool may come from too many rejections rather than from the requests that it ran. */
  isEndDoubtful (pool: PoolName): boolean {
    return this.#backpressure.isEndDoubtful(pool)
  }

  #getWaitMs ({ endpoint, incarnation, pool }: EndpointEntry): number {
    const backpressureMs = match(this.#backpressure.findAcceptance(buildIncarnationKey(endpoint, incarnation), pool, this.#getUse(endpoint)))
      .with({ type: 'open' }, () => 0)
      .with({ type: 'waiting' }, ({ waitMs }) => waitMs)
      .with({ type: 'leaving' }, () => Infinity)
      .exhaustive()
    return Math.max(backpressureMs, this.#limits.getWaitMs(endpoint))
  }

  #getUse (endpoint: EndpointName): EndpointUse {
    return { inFlightCount: this.#options.countInFlight(endpoint), slots: ASSUMED_SLOTS, vmCount: this.#vmCount }
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

/** A restarted endpoint has stated nothing yet. */
function buildIncarnationKey (endpoint: EndpointName, incarnation: Incarnation): Incarnation {
  return `${endpoint}@${incarnation}`
}
