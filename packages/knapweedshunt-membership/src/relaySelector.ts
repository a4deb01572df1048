import type { DataCentreId, VmId } from 'knapweedshunt-types'
import type { LostSummary } from './lostSummary.ts'
import type { PoolReach } from './poolReach.ts'
import type { ReachReport } from './reachReport.ts'
import type { RelayOptions } from './relayOptions.ts'
import { DEFAULT_RELAY_OPTIONS } from './relayOptions.ts'

/** How a request gets to an endpoint of its pool. */
export type RelayDecision =
  /** This VM sends it to an endpoint. */
  | { type: 'direct' }
  /** Another VM does. */
  | { type: 'relay', vm: VmId }
  /** This VM reaches no endpoint of the pool and knows no VM that does. */
  | { type: 'unreached' }

interface RelayVm {
  dataCentre: DataCentreId
  report: ReachReport | null
  reportedAtMs: number
  failedAtMs: number
  /** Requests of this VM under way through the other one. */
  inFlightCount: number
}

/** Decides whether a VM sends a request to an endpoint itself or to another VM that reaches more endpoints of the pool. */
export class RelaySelector {
  readonly #dataCentre: DataCentreId
  readonly #options: RelayOptions
  readonly #vms = new Map<VmId, RelayVm>()

  constructor (dataCentre: DataCentreId, options: RelayOptions = DEFAULT_RELAY_OPTIONS) {
    this.#dataCentre = dataCentre
    this.#options = options
  }

  /** Applies the list of the other VMs. */
  applyVms (vms: Array<{ vm: VmId, dataCentre: DataCentreId }>): void {
    const names = new Set(vms.map(({ vm }) => vm))
    for (const vm of this.#vms.keys()) if (!names.has(vm)) this.#vms.delete(vm)
    for (const { vm, dataCentre } of vms) if (!this.#vms.has(vm)) this.#vms.set(vm, { dataCentre, report: null, reportedAtMs: -Infinity, failedAtMs: -Infinity, inFlightCount: 0 })
  }

  /** Applies the report of another VM; null if it did not answer. */
  applyReport (vm: VmId, report: ReachReport | null): void {
    const known = this.#vms.get(vm)
    if (known === undefined) return
    known.report = report
    known.reportedAtMs = performance.now()
  }

  /** Records that another VM failed a request, or could not be sent one. */
  recordFailure (vm: VmId): void {
    const known = this.#vms.get(vm)
    if (known !== undefined) known.failedAtMs = performance.now()
  }

  /** Records the start of a request through another VM. */
  recordStart (vm: VmId): void {
    const known = this.#vms.get(vm)
    if (known !== undefined) known.inFlightCount++
  }

  /** Records the end of a request through another VM. */
  recordEnd (vm: VmId): void {
    const known = this.#vms.get(vm)
    if (known !== undefined) known.inFlightCount = Math.max(0, known.inFlightCount - 1)
  }

  /** Whether this VM reaches so few endpoints of a pool that the others are asked. */
  needsReports ({ reached, known }: PoolReach): boolean {
    return reached < known * this.#options.minReachedShare
  }

  /** Selects who sends a request to an endpoint; `avoided` VMs were tried before. */
  select (own: PoolReach, avoided: VmId[]): RelayDecision {
    if (!this.needsReports(own)) return { type: 'direct' }
    const candidates = [...this.#vms].filter(([vm, state]) => !avoided.includes(vm) && this.#reachesMore(state, own))
    if (candidates.length === 0) return own.reached === 0 ? { type: 'unreached' } : { type: 'direct' }
    const [vm] = candidates.reduce((best, one) => this.#computeLoad(one[1]) < this.#computeLoad(best[1]) ? one : best)
    return { type: 'relay', vm }
  }

  #reachesMore ({ report, reportedAtMs, failedAtMs }: RelayVm, own: PoolReach): boolean {
    const nowMs = performance.now()
    const { maxReportAgeMs, failureTimeoutMs, minReachFactor } = this.#options
    if (report === null || nowMs - reportedAtMs > maxReportAgeMs || nowMs - failedAtMs < failureTimeoutMs) return false
    const { reached, lost } = report.pools.find(({ pool }) => pool === own.pool) ?? { reached: 0 }
    return reached > 0 && reached >= own.reached * minReachFactor && (lost === undefined || isOwnLoss(lost, own))
  }

  #computeLoad ({ dataCentre, report, inFlightCount }: RelayVm): number {
    return Math.max(inFlightCount, report?.relayedCount ?? 0) + (dataCentre === this.#dataCentre ? 0 : this.#options.remoteHandicap)
  }
}

/** Whether endpoints are out of reach of this VM rather than down. One that reaches none has nothing to lose by asking a VM that has not heard from them lately. */
function isOwnLoss ({ answered, unheard }: LostSummary, { reached }: PoolReach): boolean {
  return answered > 0 || (reached === 0 && unheard > 0)
}
