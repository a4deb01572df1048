import type { OrganisationName, RequestId, VmId } from 'knapweedshunt-types'
import type { Demand, OrganisationRule } from './admissionTypes.ts'
import { DemandMeter } from './demandMeter.ts'
import { PeerDemands, splitPlaces, splitRate } from './peerDemands.ts'
import type { DemandFigure, VmDemand } from './peerDemands.ts'
import { TokenBucket } from './tokenBucket.ts'

interface Usage {
  meter: DemandMeter
  /** Requests refused for want of a place, per second. */
  missed: DemandMeter
  bucket: TokenBucket | null
  held: Set<RequestId>
  /** Demand last told to peers; shares are split by it, so that all VMs split the same figures. Null before the first telling. */
  told: Demand | null
}

/** Result of asking for a place. */
export type LimitDecision =
  | { type: 'allowed' }
  | { type: 'limited', waitMs: number }

/** Rate below which an organisation's state is dropped, per second. */
const IDLE_RATE = 0.01

/** Suggested wait when all places are taken, in milliseconds. */
const PLACE_WAIT_MS = 1_000

const UNLIMITED: OrganisationRule = { organisation: '', weight: 1, requestsPerSecond: null, concurrent: null }

/** Organisations' limits, split over VMs by exchanged demand. Holds state of active limited organisations only. */
export class OrganisationLimits {
  readonly #vm: VmId
  readonly #peers = new PeerDemands()
  readonly #usages = new Map<OrganisationName, Usage>()
  #rules = new Map<OrganisationName, OrganisationRule>()
  #vms = 1
  #silentMs = Infinity

  constructor (vm: VmId) {
    this.#vm = vm
  }

  /** Organisations with state. */
  get active (): number {
    return this.#usages.size
  }

  /** Takes the declared organisations and limits. */
  setRules (rules: OrganisationRule[]): void {
    this.#rules = new Map(rules.map(rule => [rule.organisation, rule]))
  }

  /** Takes the number of VMs that may admit requests, and the time after which an unheard one is taken to use its safe share. */
  setVms (count: number, silentMs: number): void {
    this.#vms = Math.max(1, count)
    this.#silentMs = silentMs
  }

  /** Takes a peer's demand. */
  noteDemand (vm: VmId, demands: Demand[], nowMs: number): void {
    if (vm !== this.#vm) this.#peers.note(vm, demands, nowMs)
  }

  /** Rule of an organisation. */
  findRule (organisation: OrganisationName): OrganisationRule {
    return this.#rules.get(organisation) ?? UNLIMITED
  }

  /** Asks for a place of the organisation's limits; an allowed request holds it until released. */
  admit (organisation: OrganisationName, requestId: RequestId, nowMs: number): LimitDecision {
    const rule = this.findRule(organisation)
    if (rule.requestsPerSecond === null && rule.concurrent === null) return { type: 'allowed' }
    this.#peers.sweep(nowMs, this.#silentMs)
    const usage = this.#open(organisation, nowMs)
    usage.meter.add(nowMs)
    if (rule.concurrent !== null && usage.held.size >= this.#countPlaces(rule.concurrent, organisation, usage)) {
      usage.missed.add(nowMs)
      return { type: 'limited', waitMs: PLACE_WAIT_MS }
    }
    const wait = rule.requestsPerSecond === null ? 0 : this.#takeToken(rule.requestsPerSecond, organisation, usage, nowMs)
    if (wait > 0) return { type: 'limited', waitMs: wait }
    usage.held.add(requestId)
    return { type: 'allowed' }
  }

  /** Frees the place that a request held. */
  release (organisation: OrganisationName, requestId: RequestId): void {
    this.#usages.get(organisation)?.held.delete(requestId)
  }

  /** This VM's `most` largest demands, for peers; drops the state of idle organisations. What is not told leaves the VM its safe share. */
  listDemands (most: number, nowMs: number): Demand[] {
    const demands: Demand[] = []
    for (const [organisation, usage] of this.#usages) {
      const requestsPerSecond = roundDemand(usage.meter.read(nowMs))
      usage.told = null
      if (requestsPerSecond < IDLE_RATE && usage.held.size === 0) this.#usages.delete(organisation)
      else demands.push({ organisation, requestsPerSecond, concurrent: roundDemand(usage.held.size + usage.missed.read(nowMs)) })
    }
    const told = demands.sort((a, b) => b.requestsPerSecond - a.requestsPerSecond).slice(0, most)
    for (const demand of told) this.#usages.get(demand.organisation)!.told = demand
    return told
  }

  #takeToken (limit: number, organisation: OrganisationName, usage: Usage, nowMs: number): number {
    const rate = splitRate(limit, this.#vms, this.#split(organisation, 'requestsPerSecond', usage))
    usage.bucket ??= new TokenBucket(rate, nowMs)
    return usage.bucket.take(rate, nowMs) ? 0 : Math.max(1, usage.bucket.countWaitMs(rate))
  }

  #countPlaces (limit: number, organisation: OrganisationName, usage: Usage): number {
    return splitPlaces(limit, this.#vms, this.#split(organisation, 'concurrent', usage))
  }

  /** Until its demand was told to peers a VM has its safe share: demand that rises on many VMs at once must not give the whole limit to each. */
  #split (organisation: OrganisationName, figure: DemandFigure, { told }: Usage): VmDemand[] {
    if (told === null) return [{ vm: this.#vm, demand: 1 }]
    return this.#peers.split(organisation, figure, { vm: this.#vm, demand: told[figure] })
  }

  #open (organisation: OrganisationName, nowMs: number): Usage {
    const known = this.#usages.get(organisation)
    if (known !== undefined) return known
    const usage: Usage = { meter: new DemandMeter(nowMs), missed: new DemandMeter(nowMs), bucket: null, held: new Set(), told: null }
    this.#usages.set(organisation, usage)
    return usage
  }
}

/** Two decimals, since demands travel. */
function roundDemand (value: number): number {
  return Math.round(value * 100) / 100
}
