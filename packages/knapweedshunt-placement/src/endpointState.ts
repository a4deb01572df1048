import type { EndpointName, EndpointSpec, EndpointView, Incarnation, Liveness, LoadReport, WeightsVersion } from 'knapweedshunt-types'
import type { HashSeed } from './hashSeed.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { RankedEndpoint } from './rankEndpoints.ts'

interface StartNote {
  atMs: number
  tokens: number
}

/** What makes an endpoint's cache that cache and no other. */
export interface EndpointIdentity {
  endpoint: EndpointName
  /** Hash of the endpoint's name. */
  seed: HashSeed
  /** Empty until the endpoint was first heard. */
  incarnation: Incarnation
  weightsVersion: WeightsVersion | null
}

/** Work that counts as ahead of a request on an endpoint that fell silent, in milliseconds. */
const SUSPECT_WAIT_MS = 1_000

/**
 * One incarnation of an endpoint at one weights version.
 * Evidence and counts refer to this object; a new incarnation or other weights get a new object, so nothing known of the old one can apply to it.
 */
export class EndpointState implements RankedEndpoint {
  readonly endpoint: EndpointName
  readonly incarnation: Incarnation
  readonly weightsVersion: WeightsVersion | null
  readonly seed: HashSeed
  spec: EndpointSpec
  /** Liveness of this incarnation as last heard; `live` before it was first heard. */
  liveness: Liveness = 'live'
  /** When this router saw the endpoint come up empty, -Infinity if it was there before. */
  readonly emptySinceMs: number
  /** Own attempts started and not ended. */
  running = 0
  /** Number of the last cache event taken, null if none is followed. */
  lastCacheEvent: number | null = null
  /** Grows at each gap in the cache event stream: what was followed before the gap is unknown after it. */
  followEpoch = 0
  /** Own attempts that were sent since the report. */
  #starts: StartNote[] = []
  #startedTokens = 0
  #reportAtMs = -Infinity
  #reportClock = -Infinity
  #reportedTokens = 0
  #reportedRequests = 0
  readonly #tokensPerMs: number
  readonly #runningTokens: number

  constructor (identity: EndpointIdentity, spec: EndpointSpec, emptySinceMs: number, options: PlacementOptions) {
    this.endpoint = identity.endpoint
    this.seed = identity.seed
    this.incarnation = identity.incarnation
    this.weightsVersion = identity.weightsVersion
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
    return this.#reportAtMs > -Infinity
  }

  /** May get new work. */
  get isUsable (): boolean {
    return !this.spec.draining && (this.liveness === 'live' || this.liveness === 'suspect')
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
    this.#starts.push({ atMs: nowMs, tokens })
    this.#startedTokens += tokens
  }

  /** Notes the end of an own attempt. */
  noteEnd (): void {
    this.running--
  }

  /** Requests expected there. */
  countRequests (): number {
    return Math.max(this.running, this.#reportedRequests + this.#starts.length)
  }

  /** Work ahead of a new request, in prompt tokens at weight 1: the report, aged, and own attempts since. */
  countWaitTokens (nowMs: number): number {
    const sinceMs = nowMs - (this.isReported ? this.#reportAtMs : this.#starts[0]?.atMs ?? nowMs)
    const drained = sinceMs * this.#tokensPerMs * this.weight
    const queued = Math.max(0, this.#reportedTokens + this.#startedTokens - drained)
    if (!this.isReported && queued === 0) this.#clearStarts()
    const silent = this.liveness === 'suspect' ? SUSPECT_WAIT_MS * this.#tokensPerMs : 0
    return (queued + this.countRequests() * this.#runningTokens) / this.weight + silent
  }

  #takeReport (load: LoadReport, atMs: number): void {
    this.#reportClock = load.atMs
    this.#reportAtMs = atMs
    this.#reportedTokens = load.queuedTokens
    this.#reportedRequests = load.running + load.queued
    this.#starts = this.#starts.filter(start => start.atMs > atMs)
    this.#startedTokens = this.#starts.reduce((sum, start) => sum + start.tokens, 0)
  }

  #clearStarts (): void {
    this.#starts = []
    this.#startedTokens = 0
  }
}
