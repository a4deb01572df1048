import { DEFAULT_HEALTH_OPTIONS } from './healthOptions.ts'
import type { HealthOptions } from './healthOptions.ts'

/** What the outcome of an attempt shows about its endpoint. */
export const HEALTH_OBSERVATION = {
  served: 'served',
  /** The request failed; the endpoint may be healthy. */
  failed: 'failed',
  /** The endpoint reset a connection; others may work. */
  down: 'down',
  /** No connection, or no response to a probe. */
  unreached: 'unreached'
} as const

/** One of {@link HEALTH_OBSERVATION}. */
export type HealthObservation = typeof HEALTH_OBSERVATION[keyof typeof HEALTH_OBSERVATION]

/** Health of one endpoint, as observed in the attempts of this VM. */
export class EndpointHealth {
  readonly #options: HealthOptions
  #excludedUntilMs = -Infinity
  #consecutiveDownCount = 0
  #requestCount = 0
  #failureCount = 0
  #decayedAtMs = performance.now()

  constructor (options: HealthOptions = DEFAULT_HEALTH_OPTIONS) {
    this.#options = options
  }

  /** Computes the fraction of recent requests that failed; 0 while there were too few. */
  computeFailedShare (): number {
    this.#decay()
    return this.#requestCount < this.#options.minRequests ? 0 : this.#failureCount / this.#requestCount
  }

  /** Whether the endpoint is excluded now, given the mean failed share of its pool. */
  isExcluded (poolMeanFailedShare: number): boolean {
    if (performance.now() < this.#excludedUntilMs) return true
    const failedShare = this.computeFailedShare()
    return failedShare >= this.#options.minFailedShare && failedShare >= poolMeanFailedShare * this.#options.poolMeanFactor
  }

  /** Records the observation of an attempt or probe. Returns whether it excludes the endpoint. */
  recordObservation (observation: HealthObservation): boolean {
    this.#decay()
    this.#requestCount++
    if (observation === HEALTH_OBSERVATION.served) {
      this.#consecutiveDownCount = 0
      return false
    }
    this.#failureCount++
    if (observation === HEALTH_OBSERVATION.failed) return false
    const nowMs = performance.now()
    if (nowMs < this.#excludedUntilMs) return false
    this.#excludedUntilMs = nowMs + Math.min(this.#options.maxExclusionMs, this.#options.baseExclusionMs * 2 ** this.#consecutiveDownCount)
    this.#consecutiveDownCount++
    return true
  }

  /** Ends an exclusion in time: the endpoint answered a probe. */
  recordProbeSuccess (): void {
    this.#excludedUntilMs = -Infinity
  }

  #decay (): void {
    const nowMs = performance.now()
    const decayFactor = 0.5 ** ((nowMs - this.#decayedAtMs) / this.#options.halfLifeMs)
    this.#requestCount *= decayFactor
    this.#failureCount *= decayFactor
    this.#decayedAtMs = nowMs
  }
}
