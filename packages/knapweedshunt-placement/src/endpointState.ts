import type { EndpointName, EndpointRole, EndpointSpec, EndpointView, Incarnation, Liveness, LoadReport, WeightsVersion } from 'knapweedshunt-types'
import type { HashSeed } from './hashSeed.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { RankedEndpoint } from './rankEndpoints.ts'

interface StartNote {
  atMs: number
  tokens: number
}

/** Own attempts remembered between two reports. */
const MAX_STARTS = 256

/** What makes an endpoint's cache that cache and no other. */
export interface EndpointIdentity {
  endpoint: EndpointName
  /** Hash of the endpoint's name. */
  seed: HashSeed
  /** Empty until the endpoint was first heard. */
  incarnation: Incarnation
  weightsVersion: WeightsVersion | null
  /** Empty without one. */
  adapter: string
}

/** Work that counts as ahead of a request on an endpoint that fell silent, in milliseconds. */
const SUSPECT_WAIT_MS = 1_000

/**
 * One incarnation of an endpoint with one weights version and adapter.
 * Evidence and counts refer to this object; a new incarnation or other weights get a new object, so nothing known of the old one can apply to it.
 */
export class EndpointState implements RankedEndpoint {
  readonly endpoint: EndpointName
  readonly incarnation: Incarnation
  readonly weightsVersion: WeightsVersion | null
  readonly adapter: string
  readonly seed: HashSeed
  spec: EndpointSpec
  /** Liveness of this incarnation as last heard; `live` before it was first heard. */
  liveness: Liveness = 'live'
  /** What the engine does by its last report. */
  role: EndpointRole = 'serve'
  /** Left out by the snapshot, as an endpoint of another data centre that is out of service there. */
  isAvoided = false
  /** When this router saw the endpoint come up empty, -Infinity if it was there before. */
  readonly emptySinceMs: number
  /** Own attempts started and not ended. */
  running = 0
  /** Number of the last cache event taken, null if none is followed. */
  lastCacheEvent: number | null = null
  /** Grows at each gap in the cache event stream: what was followed before the gap is unknown after it. */
  followEpoch = 0
  /** Latest own attempts, so that a report older than they are does not hide them. */
  #starts: StartNote[] = []
  #backlogTokens = 0
  #backlogAtMs = -Infinity
  #reportClock = -Infinity
  #reportedRequests = 0
  #runningAtReport = 0
  readonly #tokensPerMs: number
  readonly #runningTokens: number

  constructor (identity: EndpointIdentity, spec: EndpointSpec, emptySinceMs: number, options: PlacementOptions) {
    this.endpoint = identity.endpoint
    this.seed = identity.seed
    this.incarnation = identity.incarnation
    this.weightsVersion = identity.weightsVersion
    this.adapter = identity.adapter
    this.spec = spec
    this.emptySinceMs = emptySinceMs
    this.#tokensPerMs = options.prefillTokensPerS / 1_000
    this.#runningTokens = options.runningTokens
  }

  get weight (): number {
    return this.spec.weight
  }

  /** Whether a load report was heard. */
  get isReported (): boolean {
    return this.#reportClock > -Infinity
  }

  /** May get new work. */
  get isUsable (): boolean {
    return !this.spec.draining && !this.isAvoided && this.role === 'serve' && (this.liveness === 'live' || this.liveness === 'suspect')
  }

  /** Takes a view of this incarnation: leaving is final, and a report older than the last one is ignored. */
  takeView (view: EndpointView, nowMs: number): void {
    if (this.liveness !== 'leaving') this.liveness = view.state
    const { load } = view
    if (load !== null && load.incarnation === this.incarnation && load.atMs > this.#reportClock) this.#takeReport(load, nowMs - view.loadAgeMs)
  }

  /** Notes an own attempt with `tokens` to compute. */
  noteStart (tokens: number, nowMs: number): void {
    this.running++
    this.#addWork(tokens, nowMs)
    this.#starts.push({ atMs: nowMs, tokens })
    if (this.#starts.length > MAX_STARTS) this.#starts.shift()
  }

  /** Notes the end of an own attempt. */
  noteEnd (): void {
    this.running--
  }

  /** Requests expected there: the report, and what own attempts changed since. */
  countRequests (): number {
    return Math.max(this.running, this.#reportedRequests + this.running - this.#runningAtReport)
  }

  /** Work ahead of a new request, in prompt tokens at weight 1: the report, aged, and own attempts since. */
  countWaitTokens (nowMs: number): number {
    const silent = this.liveness === 'suspect' ? SUSPECT_WAIT_MS * this.#tokensPerMs : 0
    return (this.#countBacklog(nowMs) + this.countRequests() * this.#runningTokens) / this.weight + silent
  }

  #takeReport (load: LoadReport, atMs: number): void {
    this.role = load.role ?? 'serve'
    this.#reportClock = load.atMs
    this.#reportedRequests = load.running + load.queued
    this.#runningAtReport = this.running
    this.#backlogTokens = load.queuedTokens
    this.#backlogAtMs = atMs
    this.#starts = this.#starts.filter(start => start.atMs > atMs)
    for (const start of this.#starts) this.#addWork(start.tokens, start.atMs)
  }

  #addWork (tokens: number, atMs: number): void {
    this.#backlogTokens = this.#countBacklog(atMs) + tokens
    this.#backlogAtMs = atMs
  }

  #countBacklog (nowMs: number): number {
    if (this.#backlogTokens === 0) return 0
    return Math.max(0, this.#backlogTokens - (nowMs - this.#backlogAtMs) * this.#tokensPerMs * this.weight)
  }
}
