import type { Incarnation, PoolName } from 'knapweedshunt-types'
import type { EndpointAcceptance } from './endpointAcceptance.ts'
import type { EndpointUse } from './endpointUse.ts'
import type { BackpressureOptions } from './backpressureOptions.ts'
import { DEFAULT_BACKPRESSURE_OPTIONS } from './backpressureOptions.ts'
import type { BackpressureSignals } from './backpressureSignals.ts'

const MS_PER_SECOND = 1_000

/** Time after which a request that waits for another one to end asks again, in milliseconds. */
const FULL_WAIT_MS = 15

interface EndpointState {
  backoffUntilMs: number
  /** Until then the endpoint gets one request at a time. */
  provingUntilMs: number
  isLeaving: boolean
  /** Requests that the endpoint gets at a time while it is brittle; null before its first one. */
  window: number | null
  windowGrownAtMs: number
}

interface BrittlePool {
  maxRejectionsPerS: number
  /** Start of the newest attempt whose response said so. */
  statedForAttemptAtMs: number
  statedAtMs: number
  rejectedAtMs: number
}

/**
 * Backpressure that endpoints state in their responses to this VM, apart from rate limits: back-off, leaving, and few rejections.
 * Each VM is told for itself, as each gets responses.
 */
export class EndpointBackpressure {
  readonly #options: BackpressureOptions
  readonly #endpoints = new Map<Incarnation, EndpointState>()
  readonly #brittlePools = new Map<PoolName, BrittlePool>()

  constructor (options: BackpressureOptions = DEFAULT_BACKPRESSURE_OPTIONS) {
    this.#options = options
  }

  /** Number of endpoints that asked this VM to back off. */
  get backoffCount (): number {
    const nowMs = performance.now()
    return [...this.#endpoints.values()].filter(({ backoffUntilMs }) => backoffUntilMs > nowMs).length
  }

  /** Whether the endpoint has said that it is about to stop; that is final. */
  isLeaving (endpoint: Incarnation): boolean {
    return this.#endpoints.get(endpoint)?.isLeaving ?? false
  }

  /** Whether the end of an endpoint of the pool may come from too many rejections rather than from the requests that it ran. */
  isEndDoubtful (pool: PoolName): boolean {
    const brittle = this.#findBrittlePool(pool)
    return brittle !== null && performance.now() - brittle.rejectedAtMs <= this.#options.doubtfulEndMs
  }

  /** Determines what the endpoint accepts from this VM now. */
  findAcceptance (endpoint: Incarnation, pool: PoolName, use: EndpointUse): EndpointAcceptance {
    const nowMs = performance.now()
    const state = this.#endpoints.get(endpoint)
    if (state?.isLeaving) return { type: 'leaving' }
    if (state !== undefined && state.backoffUntilMs > nowMs) return { type: 'waiting', waitMs: state.backoffUntilMs - nowMs }
    if (state !== undefined && state.provingUntilMs > nowMs && use.inFlightCount > 0) return { type: 'waiting', waitMs: FULL_WAIT_MS }
    if (this.#findBrittlePool(pool) === null) return { type: 'open' }
    return use.inFlightCount < this.#updateWindow(endpoint, use) ? { type: 'open' } : { type: 'waiting', waitMs: FULL_WAIT_MS }
  }

  /** Records what a response says; `attemptStartedAtMs` is when its request was sent. */
  recordResponse (endpoint: Incarnation, pool: PoolName, signals: BackpressureSignals, attemptStartedAtMs: number, use: EndpointUse): void {
    const nowMs = performance.now()
    if (signals.isLeaving) this.#getOrCreate(endpoint).isLeaving = true
    this.#recordBrittleness(pool, signals.maxRejectionsPerS, attemptStartedAtMs)
    if (!signals.isRejected) this.#recordAccepted(endpoint, attemptStartedAtMs)
    else if (signals.backoffMs !== null) this.#extendBackoff(endpoint, nowMs + signals.backoffMs)
    const brittle = this.#findBrittlePool(pool)
    if (!signals.isRejected || brittle === null) return
    brittle.rejectedAtMs = nowMs
    this.#reduceWindow(endpoint, use)
    this.#extendBackoff(endpoint, nowMs + this.#computePauseMs(brittle.maxRejectionsPerS, use.vmCount))
  }

  /** Forgets all endpoints but these. */
  retain (endpoints: ReadonlySet<Incarnation>): void {
    for (const endpoint of this.#endpoints.keys()) if (!endpoints.has(endpoint)) this.#endpoints.delete(endpoint)
  }

  /** Forgets an endpoint that ended. */
  handleEndpointEnded (endpoint: Incarnation): void {
    this.#endpoints.delete(endpoint)
  }

  /** Of several back-offs the one that ends last counts. */
  #extendBackoff (endpoint: Incarnation, untilMs: number): void {
    const state = this.#getOrCreate(endpoint)
    state.backoffUntilMs = Math.max(state.backoffUntilMs, untilMs)
    state.provingUntilMs = state.backoffUntilMs + this.#options.provingMs
  }

  /** A response to a request that was sent before the back-off does not show that the endpoint takes more. */
  #recordAccepted (endpoint: Incarnation, attemptStartedAtMs: number): void {
    const state = this.#endpoints.get(endpoint)
    if (state !== undefined && attemptStartedAtMs >= state.backoffUntilMs) state.provingUntilMs = -Infinity
  }

  #recordBrittleness (pool: PoolName, maxRejectionsPerS: number | null, attemptStartedAtMs: number): void {
    const known = this.#brittlePools.get(pool)
    if (maxRejectionsPerS === null) {
      if (known !== undefined && attemptStartedAtMs > known.statedForAttemptAtMs + this.#options.brittleRetentionMs) this.#brittlePools.delete(pool)
      return
    }
    this.#brittlePools.set(pool, { maxRejectionsPerS, statedForAttemptAtMs: Math.max(attemptStartedAtMs, known?.statedForAttemptAtMs ?? -Infinity), statedAtMs: performance.now(), rejectedAtMs: known?.rejectedAtMs ?? -Infinity })
  }

  /** An endpoint that has just started says nothing yet; it is taken for as brittle as the others of its pool. */
  #findBrittlePool (pool: PoolName): BrittlePool | null {
    const brittle = this.#brittlePools.get(pool)
    if (brittle === undefined) return null
    if (performance.now() - brittle.statedAtMs <= this.#options.brittleRetentionMs) return brittle
    this.#brittlePools.delete(pool)
    return null
  }

  #updateWindow (endpoint: Incarnation, { slots, vmCount }: EndpointUse): number {
    const nowMs = performance.now()
    const share = Math.max(1, Math.floor(slots / vmCount))
    const state = this.#getOrCreate(endpoint)
    if (state.window === null) {
      state.window = Math.max(1, Math.floor(share * this.#options.initialWindowShare))
      state.windowGrownAtMs = nowMs
    } else if (state.window < share && nowMs - state.windowGrownAtMs >= this.#options.windowGrowthMs) {
      state.window++
      state.windowGrownAtMs = nowMs
    }
    return Math.min(state.window, share)
  }

  #reduceWindow (endpoint: Incarnation, use: EndpointUse): void {
    const window = this.#updateWindow(endpoint, use)
    const state = this.#getOrCreate(endpoint)
    state.window = Math.max(1, Math.min(window, use.inFlightCount) - 1)
    state.windowGrownAtMs = performance.now()
  }

  /** Pause by which the rejections of all VMs together stay below what the endpoint bears in a second. */
  #computePauseMs (maxRejectionsPerS: number, vmCount: number): number {
    const { minPauseMs, maxPauseMs, pauseFactor } = this.#options
    return Math.min(maxPauseMs, Math.max(minPauseMs, vmCount * pauseFactor * MS_PER_SECOND / Math.max(maxRejectionsPerS, Number.EPSILON)))
  }

  #getOrCreate (endpoint: Incarnation): EndpointState {
    const state = this.#endpoints.get(endpoint) ?? { backoffUntilMs: -Infinity, provingUntilMs: -Infinity, isLeaving: false, window: null, windowGrownAtMs: -Infinity }
    this.#endpoints.set(endpoint, state)
    return state
  }
}
