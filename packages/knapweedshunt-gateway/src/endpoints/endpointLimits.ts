import { EndpointRateLimits } from 'knapweedshunt-admission'
import type { EndpointLimitReport, LimitChange } from 'knapweedshunt-admission'
import type { Incarnation, PoolName, RequestId, VmId } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { ReceivedLimitReport } from '../directory/rosterRows.ts'
import type { StatedLimit } from '../ports/endpointPort.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import type { EndpointRecord } from './endpointRecord.ts'

/** Dependencies of {@link EndpointLimits}. */
export interface EndpointLimitsDependencies {
  vm: VmId
  incarnation: Incarnation
  decisionLog: DecisionLog
  metrics: GatewayMetrics
  /** VMs that may be running, including this one; empty while they are not known. */
  listVms (): VmId[]
  /** Tells all VMs this VM's report. */
  announceReport (report: EndpointLimitReport): void
}

/** Rate limits that endpoints state in their responses for all VMs together, and this VM's part of each. */
export class EndpointLimits {
  readonly #dependencies: EndpointLimitsDependencies
  readonly #limits: EndpointRateLimits

  constructor (dependencies: EndpointLimitsDependencies) {
    this.#dependencies = dependencies
    this.#limits = new EndpointRateLimits(dependencies.vm, dependencies.incarnation)
  }

  /** Number of endpoints that state a limit. */
  get count (): number {
    return this.#limits.count
  }

  /** Limit of an endpoint, in requests per second for all VMs together; null for none. */
  findLimit ({ entry }: EndpointRecord): number | null {
    return this.#limits.findLimit(entry.incarnation)
  }

  /** This VM's part of an endpoint's limit, in requests per second; infinite without a limit. */
  getOwnRatePerS ({ entry }: EndpointRecord): number {
    return this.#limits.getOwnRatePerS(entry.incarnation)
  }

  /** Time until this VM may send the endpoint a request, in milliseconds; infinite if it has no part of the limit. */
  getWaitMs ({ entry }: EndpointRecord): number {
    return this.#limits.getWaitMs(entry.incarnation)
  }

  /** Counts a request that is about to be sent; false if this VM may not send the endpoint one. */
  tryTake ({ entry }: EndpointRecord): boolean {
    return this.#limits.tryTake(entry.incarnation)
  }

  /** Counts a request of a caller for the pool. */
  recordDemand (pool: PoolName): void {
    this.#limits.recordDemand(pool)
  }

  /** Records what the response to an attempt says about its endpoint's limit. */
  recordResponse (record: EndpointRecord, limit: StatedLimit, requestId: RequestId, attemptStartedAtMs: number): void {
    match(limit)
      .with({ type: 'none' }, () => this.#recordStated(record, null, requestId, attemptStartedAtMs))
      .with({ type: 'limited' }, ({ requestsPerS }) => this.#recordStated(record, requestsPerS, requestId, attemptStartedAtMs))
      .with({ type: 'unreadable' }, ({ text }) => this.#dependencies.decisionLog.record({ type: 'limitUnreadable', endpoint: record.entry.endpoint, incarnation: record.entry.incarnation, requestId, text }))
      .exhaustive()
  }

  /** Applies the report of a VM. */
  applyReport ({ vm, from, report }: ReceivedLimitReport): void {
    for (const change of this.#limits.applyReport(vm, from, report)) this.#recordChange(change, '', from)
  }

  /** Keeps the limit of an endpoint that ended for a while. */
  handleIncarnationEnded ({ entry }: EndpointRecord): void {
    this.#limits.handleEndpointEnded(entry.incarnation)
  }

  /** Updates the split by the VMs and the age of their reports, and announces this VM's report if the others need it; `reportsReadAtMs` is when reports were last read. */
  update (reportsReadAtMs: number): void {
    this.#limits.setVms(this.#dependencies.listVms())
    this.#limits.update(reportsReadAtMs)
    this.#announceIfNeeded()
  }

  #recordStated (record: EndpointRecord, requestsPerS: number | null, requestId: RequestId, attemptStartedAtMs: number): void {
    const change = this.#limits.recordStated(record.entry.incarnation, record.entry.pool, requestsPerS, attemptStartedAtMs)
    if (change === null) return
    this.#recordChange(change, requestId, '')
    this.#announceIfNeeded()
  }

  #recordChange ({ endpoint, requestsPerS, previousPerS }: LimitChange, requestId: RequestId, from: Incarnation): void {
    this.#dependencies.metrics.recordLimitChange()
    this.#dependencies.decisionLog.record({ type: 'limitStated', incarnation: endpoint, requestId, from, limitPerS: requestsPerS, previousPerS, ownRatePerS: requestsPerS === null ? null : this.#limits.getOwnRatePerS(endpoint) })
  }

  #announceIfNeeded (): void {
    if (this.#limits.needsReport()) this.#dependencies.announceReport(this.#limits.buildReport())
  }
}
