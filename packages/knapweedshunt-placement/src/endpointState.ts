import type { EndpointName, EndpointRole, EndpointSpec, EndpointView, Incarnation, Liveness, LoadReport, WeightsVersion } from 'knapweedshunt-types'
import type { HashSeed } from './hashSeed.ts'
import type { EndpointForecast, EndpointForecasts } from './endpointForecasts.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { RankedEndpoint } from './rankEndpoints.ts'

interface StartedAttempt {
  atMs: number
  tokens: number
}

/** Maximum number of own attempts remembered between two load reports. */
const MAX_STARTED_ATTEMPTS = 256

/** Identity of an endpoint's cache: state learned under one identity does not apply to another. */
export interface EndpointIdentity {
  endpoint: EndpointName
  /** Hash of the endpoint's name. */
  seed: HashSeed
  /** Empty until the first report of the endpoint is received. */
  incarnation: Incarnation
  weightsVersion: WeightsVersion | null
  /** Empty if no adapter is loaded. */
  adapter: string
}

/** Time constant with which a load report gives way to the mean of its pool, in milliseconds. */
const REPORT_DECAY_MS = 1_000

/** Extra wait assumed on an endpoint in state `suspect`, in milliseconds. */
const SUSPECT_PENALTY_MS = 1_000

/**
 * One incarnation of an endpoint with one weights version and adapter.
 * Cache observations and counts refer to this object. A new incarnation, weights version or adapter gets a new object, so that state of the old one cannot apply to it.
 */
export class EndpointState implements RankedEndpoint {
  readonly endpoint: EndpointName
  readonly incarnation: Incarnation
  readonly weightsVersion: WeightsVersion | null
  readonly adapter: string
  readonly seed: HashSeed
  spec: EndpointSpec
  /** Liveness of this incarnation as last reported; `live` before the first report. */
  liveness: Liveness = 'live'
  /** Role of the engine in its last load report. */
  role: EndpointRole = 'serve'
  /** Whether the snapshot lists the endpoint as avoided: one of another data centre that is out of service there. */
  isAvoided = false
  /** Time at which this router learned of the new incarnation, weights or adapter, whose cache starts empty; -Infinity for the first incarnation that it hears of, which may have been running before. */
  readonly cacheEmptySinceMs: number
  /** Own attempts in flight. */
  running = 0
  /** Number of the last cache event applied; null before the first one. */
  lastCacheEventNumber: number | null = null
  /** Incremented at each gap in the cache event stream: observations made before the gap are no longer valid. */
  cacheStreamEpoch = 0
  /** Latest own attempts; those newer than a load report are added to its backlog. */
  #startedAttempts: StartedAttempt[] = []
  #backlogTokens = 0
  #backlogAtMs = -Infinity
  /** Time of the last load report by the clock of this process. */
  #reportAppliedAtMs = -Infinity
  #reportedBacklogTokens = 0
  /** `atMs` of the last load report; not on the clock of this process, so only compared with that of other reports. */
  #reportedAtMs = -Infinity
  #reportedRequests = 0
  #runningAtReport = 0
  readonly #tokensPerMs: number
  readonly #runningStreamCostTokens: number
  readonly #forecasts: EndpointForecasts
  /** Forecast found last, which one placement asks for several times, and when. */
  #forecast: EndpointForecast | null = null
  #forecastAtMs = -Infinity

  constructor (identity: EndpointIdentity, spec: EndpointSpec, cacheEmptySinceMs: number, options: PlacementOptions) {
    this.endpoint = identity.endpoint
    this.seed = identity.seed
    this.incarnation = identity.incarnation
    this.weightsVersion = identity.weightsVersion
    this.adapter = identity.adapter
    this.spec = spec
    this.cacheEmptySinceMs = cacheEmptySinceMs
    this.#tokensPerMs = options.prefillTokensPerS / 1_000
    this.#runningStreamCostTokens = options.runningStreamCostTokens
    this.#forecasts = options.forecasts
  }

  get weight (): number {
    return this.spec.weight
  }

  /** What is expected of the endpoint beyond its weight and load reports; null if nothing is. */
  findForecast (nowMs: number): EndpointForecast | null {
    if (nowMs !== this.#forecastAtMs) {
      this.#forecast = this.#forecasts.find(this.endpoint, nowMs)
      this.#forecastAtMs = nowMs
    }
    return this.#forecast
  }

  /** Estimates the present run time, relative to that of an endpoint of weight 1. */
  estimateRunTime (nowMs: number): number {
    return this.findForecast(nowMs)?.runTime ?? 1 / this.weight
  }

  /** Whether a load report has been received. */
  get hasLoadReport (): boolean {
    return this.#reportedAtMs > -Infinity
  }

  /** Whether new requests may be sent to the endpoint. */
  get isUsable (): boolean {
    return !this.spec.draining && !this.isAvoided && this.role === 'serve' && (this.liveness === 'live' || this.liveness === 'suspect')
  }

  /** Applies a view of this incarnation. `leaving` is final, and a load report that is not newer than the last one is ignored. */
  applyView (view: EndpointView, nowMs: number): void {
    if (this.liveness !== 'leaving') this.liveness = view.state
    const { load } = view
    if (load !== null && load.incarnation === this.incarnation && load.atMs > this.#reportedAtMs) this.#applyLoadReport(load, nowMs - view.loadAgeMs)
  }

  /** Records the start of an own attempt with `tokens` to compute. */
  recordAttemptStart (tokens: number, nowMs: number): void {
    this.running++
    this.#addBacklog(tokens, nowMs)
    this.#startedAttempts.push({ atMs: nowMs, tokens })
    if (this.#startedAttempts.length > MAX_STARTED_ATTEMPTS) this.#startedAttempts.shift()
  }

  /** Records the end of an own attempt. */
  recordAttemptEnd (): void {
    this.running--
  }

  /** Estimates the number of requests on the endpoint: the last load report, adjusted by own attempts since. */
  countRequests (): number {
    return Math.max(this.running, this.#reportedRequests + this.running - this.#runningAtReport)
  }

  /** Estimates the work ahead of a new request, in prompt tokens at weight 1: the reported backlog less what was computed since, plus own attempts since. With a forecast, a report ages toward the mean of the pool, as other routers send requests too. */
  countWaitTokens (nowMs: number): number {
    const suspectPenaltyTokens = this.liveness === 'suspect' ? SUSPECT_PENALTY_MS * this.#tokensPerMs : 0
    const forecast = this.findForecast(nowMs)
    const ownTokens = (this.#countBacklogTokens(nowMs) + this.countRequests() * this.#runningStreamCostTokens) * (forecast?.runTime ?? 1 / this.weight)
    return (forecast === null ? ownTokens : this.#adjustToMean(ownTokens, forecast, nowMs)) + suspectPenaltyTokens
  }

  /** A longer wait than the mean falls to it as the backlog is worked off, a shorter one rises to it with the age of the report. */
  #adjustToMean (ownTokens: number, { runTime, meanWaitTokens, minWaitTokens }: EndpointForecast, nowMs: number): number {
    const leastTokens = Math.max(ownTokens, minWaitTokens)
    if (this.#reportedBacklogTokens * runTime > meanWaitTokens) return Math.max(leastTokens, meanWaitTokens)
    return Math.max(leastTokens, meanWaitTokens * (1 - Math.exp((this.#reportAppliedAtMs - nowMs) / REPORT_DECAY_MS)))
  }

  #applyLoadReport (load: LoadReport, atMs: number): void {
    this.role = load.role ?? 'serve'
    this.#forecastAtMs = -Infinity
    this.#reportedAtMs = load.atMs
    this.#reportedRequests = load.running + load.queued
    this.#runningAtReport = this.running
    this.#backlogTokens = this.#reportedBacklogTokens = load.queuedTokens
    this.#backlogAtMs = this.#reportAppliedAtMs = atMs
    this.#startedAttempts = this.#startedAttempts.filter(start => start.atMs > atMs)
    for (const start of this.#startedAttempts) this.#addBacklog(start.tokens, start.atMs)
  }

  #addBacklog (tokens: number, atMs: number): void {
    this.#backlogTokens = this.#countBacklogTokens(atMs) + tokens
    this.#backlogAtMs = atMs
  }

  #countBacklogTokens (nowMs: number): number {
    if (this.#backlogTokens === 0) return 0
    return Math.max(0, this.#backlogTokens - (nowMs - this.#backlogAtMs) * this.#tokensPerMs / this.estimateRunTime(nowMs))
  }
}
