import type { OrganisationName, RequestId, VmId } from 'knapweedshunt-types'
import type { Demand, OrganisationRule } from './admissionTypes.ts'
import { RateTracker } from './rateTracker.ts'
import { PeerDemands, splitSlots, splitRate } from './peerDemands.ts'
import type { DemandFigure, VmDemand } from './peerDemands.ts'
import { TokenBucket } from './tokenBucket.ts'

interface Usage {
  requestRate: RateTracker
  /** Requests refused because no concurrency slot was free. */
  slotRefusalRate: RateTracker
  tokenBucket: TokenBucket | null
  heldRequestIds: Set<RequestId>
  /** Demand last announced to peers. Limits are split by it so that all VMs split by the same figures. Null when it was not part of the last announcement. */
  announcedDemand: Demand | null
}

/** Whether a request is within its organisation's limits; `waitMs` is the suggested retry delay. */
export type LimitDecision =
  | { type: 'allowed' }
  | { type: 'limited', waitMs: number }

/** Request rate below which the state of an organisation without running requests is dropped. */
const IDLE_RATE_PER_S = 0.01

/** Retry delay suggested when all concurrency slots are taken, in milliseconds. */
const SLOT_WAIT_MS = 1_000

const UNLIMITED: OrganisationRule = { organisation: '', weight: 1, requestsPerSecond: null, concurrent: null }

/** Rate and concurrency limits of organisations, split over the VMs by exchanged demand. Holds state for active limited organisations only. */
export class OrganisationLimits {
  readonly #vm: VmId
  readonly #peers = new PeerDemands()
  readonly #usages = new Map<OrganisationName, Usage>()
  #rules = new Map<OrganisationName, OrganisationRule>()
  #vmCount = 1
  #peerTimeoutMs = Infinity

  constructor (vm: VmId) {
    this.#vm = vm
  }

  /** Number of organisations with state. */
  get activeCount (): number {
    return this.#usages.size
  }

  /** Replaces the declared organisations and their limits. */
  setRules (rules: OrganisationRule[]): void {
    this.#rules = new Map(rules.map(rule => [rule.organisation, rule]))
  }

  /** Sets the number of VMs that may admit requests, and the time without demands from a peer after which its equal share of each limit is set aside for it. */
  setVms (count: number, peerTimeoutMs: number): void {
    this.#vmCount = Math.max(1, count)
    this.#peerTimeoutMs = peerTimeoutMs
  }

  /** Replaces the demands of a peer; ignores this VM's own. */
  setPeerDemands (vm: VmId, demands: Demand[], nowMs: number): void {
    if (vm !== this.#vm) this.#peers.set(vm, demands, nowMs)
  }

  /** Rule of an organisation; weight 1 and no limits when none is declared. */
  findRule (organisation: OrganisationName): OrganisationRule {
    return this.#rules.get(organisation) ?? UNLIMITED
  }

  /** Checks a request against the limits of its organisation. An allowed request holds a concurrency slot until `release`. */
  admit (organisation: OrganisationName, requestId: RequestId, nowMs: number): LimitDecision {
    const rule = this.findRule(organisation)
    if (rule.requestsPerSecond === null && rule.concurrent === null) return { type: 'allowed' }
    this.#peers.removeSilent(nowMs, this.#peerTimeoutMs)
    const usage = this.#getOrCreateUsage(organisation, nowMs)
    usage.requestRate.record(nowMs)
    if (rule.concurrent !== null && usage.heldRequestIds.size >= this.#countSlots(rule.concurrent, organisation, usage)) {
      usage.slotRefusalRate.record(nowMs)
      return { type: 'limited', waitMs: SLOT_WAIT_MS }
    }
    const tokenWaitMs = rule.requestsPerSecond === null ? 0 : this.#takeTokenOrWaitMs(rule.requestsPerSecond, organisation, usage, nowMs)
    if (tokenWaitMs > 0) return { type: 'limited', waitMs: tokenWaitMs }
    usage.heldRequestIds.add(requestId)
    return { type: 'allowed' }
  }

  /** Frees the concurrency slot of a request. */
  release (organisation: OrganisationName, requestId: RequestId): void {
    this.#usages.get(organisation)?.heldRequestIds.delete(requestId)
  }

  /** Returns this VM's `maxCount` largest demands for announcement to peers, and drops the state of idle organisations. For demands left out, this VM uses its equal share of the limit. */
  listDemands (maxCount: number, nowMs: number): Demand[] {
    const demands: Demand[] = []
    for (const [organisation, usage] of this.#usages) {
      const requestsPerSecond = roundDemand(usage.requestRate.getRatePerS(nowMs))
      usage.announcedDemand = null
      if (requestsPerSecond < IDLE_RATE_PER_S && usage.heldRequestIds.size === 0) this.#usages.delete(organisation)
      else demands.push({ organisation, requestsPerSecond, concurrent: roundDemand(usage.heldRequestIds.size + usage.slotRefusalRate.getRatePerS(nowMs)) })
    }
    const announced = demands.sort((a, b) => b.requestsPerSecond - a.requestsPerSecond).slice(0, maxCount)
    for (const demand of announced) this.#usages.get(demand.organisation)!.announcedDemand = demand
    return announced
  }

  #takeTokenOrWaitMs (limitPerS: number, organisation: OrganisationName, usage: Usage, nowMs: number): number {
    const ratePerS = splitRate(limitPerS, this.#vmCount, this.#listVmDemands(organisation, 'requestsPerSecond', usage))
    usage.tokenBucket ??= new TokenBucket(ratePerS, nowMs)
    return usage.tokenBucket.tryTake(ratePerS, nowMs) ? 0 : Math.max(1, usage.tokenBucket.getWaitMs(ratePerS))
  }

  #countSlots (limit: number, organisation: OrganisationName, usage: Usage): number {
    return splitSlots(limit, this.#vmCount, this.#listVmDemands(organisation, 'concurrent', usage))
  }

  /** Until its demand is announced to peers, a VM uses its equal share: otherwise a rise of demand on many VMs at once would give the whole limit to each. */
  #listVmDemands (organisation: OrganisationName, figure: DemandFigure, { announcedDemand }: Usage): VmDemand[] {
    if (announcedDemand === null) return [{ vm: this.#vm, demand: 1 }]
    return this.#peers.listVmDemands(organisation, figure, { vm: this.#vm, demand: announcedDemand[figure] })
  }

  #getOrCreateUsage (organisation: OrganisationName, nowMs: number): Usage {
    const existing = this.#usages.get(organisation)
    if (existing !== undefined) return existing
    const usage: Usage = { requestRate: new RateTracker(nowMs), slotRefusalRate: new RateTracker(nowMs), tokenBucket: null, heldRequestIds: new Set(), announcedDemand: null }
    this.#usages.set(organisation, usage)
    return usage
  }
}

/** Rounds to two decimals, because demands are sent to peers. */
function roundDemand (value: number): number {
  return Math.round(value * 100) / 100
}
