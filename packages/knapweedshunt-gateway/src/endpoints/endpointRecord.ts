import type { EndpointEntry } from '../ports/endpointEntry.ts'
import type { ReportedLoad } from '../ports/endpointPort.ts'
import { CapacityStep } from './capacityStep.ts'
import { EndpointHealth } from './endpointHealth.ts'
import { EndpointSpeed } from './endpointSpeed.ts'
import { HeadDelays } from './headDelays.ts'
import { PoolSpeed } from './poolSpeed.ts'

/** Weight of the newest request in the moving mean of prompt tokens. */
const MEAN_TOKENS_WEIGHT = 0.1

/** State of one incarnation of an endpoint, as known to this VM. */
export class EndpointRecord {
  entry: EndpointEntry
  readonly health = new EndpointHealth()
  readonly headDelays = new HeadDelays()
  readonly poolSpeed: PoolSpeed
  readonly speed: EndpointSpeed
  /** Capacity by which placement ranks the endpoint. */
  readonly capacityStep = new CapacityStep()
  /** Whether a response to this VM said that the endpoint is about to stop; that is final for its incarnation. */
  isLeaving = false
  /** Whether this VM reaches the endpoint; false from a failed connection or probe until it answers a probe. */
  isReached = true
  /** Monotonic time at which this VM lost the endpoint; null while it reaches it. */
  lostAtMs: number | null = null
  /** Monotonic time of the endpoint's last answer to this VM; -Infinity before the first. */
  answeredAtMs = -Infinity
  /** Monotonic time at which the last probe began that the endpoint answered; -Infinity before the first. */
  answeredProbeAtMs = -Infinity
  /** Attempts of this VM in flight. */
  inFlightCount = 0
  /** Monotonic time at which the last byte arrived from the endpoint. */
  lastReceivedAtMs = performance.now()
  load: ReportedLoad | null = null
  loadAtMs = -Infinity
  /** Moving mean of the prompt tokens that a request of this VM has computed there. */
  #ownMeanPromptTokens = 0
  /** Monotonic time until which the endpoint is kept although its row is missing, as it may have expired in a store outage, or cannot be read; null while the row can be read. */
  keptUntilMs: number | null = null

  /** `poolSpeed` is shared by the endpoints of a pool. */
  constructor (entry: EndpointEntry, poolSpeed = new PoolSpeed()) {
    this.entry = entry
    this.poolSpeed = poolSpeed
    this.speed = new EndpointSpeed(poolSpeed)
  }

  /** Whether the endpoint is about to stop, by its row or its responses, and gets no new requests. */
  get isDraining (): boolean {
    return this.entry.isDraining || this.isLeaving
  }

  /** Prompt tokens that a request has computed there in the mean. A VM sends one of many endpoints a request too seldom to tell its mean from the pool's. */
  get meanPromptTokens (): number {
    return this.speed.isStated ? this.poolSpeed.meanPromptTokens : this.#ownMeanPromptTokens
  }

  /** Time for which a request of this VM has waited longer than it would at an endpoint without a queue, in milliseconds. */
  estimateOverdueMs (nowMs: number): number {
    const expectedMs = this.isPlainService ? this.poolSpeed.runMs * this.speed.estimateSlowdown(nowMs) : this.speed.estimateFirstTokenMs(this.meanPromptTokens, nowMs)
    return Math.max(0, this.headDelays.getOldestMs(nowMs) - expectedMs)
  }

  /** Whether the endpoint serves no model. */
  get isPlainService (): boolean {
    return this.entry.models.length === 0
  }

  /** Last known version of a model's weights; null when the endpoint does not serve the model. */
  findVersion (model: string): number | null {
    return this.entry.models.find(served => served.model === model)?.version ?? null
  }

  /** Records the load reported in a response. */
  recordLoad (load: ReportedLoad): void {
    this.load = load
    this.loadAtMs = performance.now()
    if (load.slowdown !== null) this.speed.recordSlowdown(load.slowdown, this.loadAtMs)
  }

  /** Estimates the prompt tokens that the endpoint has to compute before those of a new request: of the requests that waited at its last report, and of this VM's requests without an answer. */
  countTokensAhead (): number {
    return Math.max(this.load?.waiting ?? 0, this.headDelays.unansweredCount) * this.meanPromptTokens
  }

  /** Records the prompt tokens that are not expected in the endpoint's cache for a request, and those of them that it is expected not to fetch either. */
  recordPromptTokens (tokens: number, unfetchedTokens = tokens): void {
    this.#ownMeanPromptTokens += (tokens - this.#ownMeanPromptTokens) * MEAN_TOKENS_WEIGHT
    this.poolSpeed.recordPromptTokens(unfetchedTokens)
  }

  /** Records a newer version that the endpoint serves before its row states it. Returns whether the version changed. */
  recordVersion (model: string, version: number): boolean {
    const known = this.findVersion(model)
    if (known === null || known >= version) return false
    const models = this.entry.models.map(served => served.model === model ? { model, version } : served)
    this.entry = { ...this.entry, models }
    return true
  }
}
