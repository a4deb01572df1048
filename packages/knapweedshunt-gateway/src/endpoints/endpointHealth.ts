import { DEFAULT_HEALTH_OPTIONS } from './healthOptions.ts'
import type { HealthOptions } from './healthOptions.ts'

/** What an attempt told of its endpoint. */
export const EVIDENCE = {
  served: 'served',
  /** This request failed; the endpoint may be well. */
  failed: 'failed',
  /** Speaks of the whole endpoint: no connection, a reset, silence. */
  down: 'down'
} as const

/** One of {@link EVIDENCE}. */
export type Evidence = typeof EVIDENCE[keyof typeof EVIDENCE]

/** Judges one endpoint by the attempts of this VM. */
export class EndpointHealth {
  readonly #options: HealthOptions
  #outUntilMs = -Infinity
  #downs = 0
  #requests = 0
  #failures = 0
  #atMs = performance.now()

  constructor (options: HealthOptions = DEFAULT_HEALTH_OPTIONS) {
    this.#options = options
  }

  /** Share of recent requests that failed; 0 while too few were seen. */
  readFailedShare (): number {
    this.#decay()
    return this.#requests < this.#options.minRequests ? 0 : this.#failures / this.#requests
  }

  /** Whether the endpoint is left out now. */
  isOut (poolMeanShare: number): boolean {
    if (performance.now() < this.#outUntilMs) return true
    const share = this.readFailedShare()
    return share >= this.#options.failedShare && share >= poolMeanShare * this.#options.meanFactor
  }

  /** Notes what an attempt told. Returns whether that puts the endpoint out. */
  note (evidence: Evidence): boolean {
    this.#decay()
    this.#requests++
    if (evidence === EVIDENCE.served) {
      this.#downs = 0
      return false
    }
    this.#failures++
    if (evidence !== EVIDENCE.down) return false
    const nowMs = performance.now()
    if (nowMs < this.#outUntilMs) return false
    this.#outUntilMs = nowMs + Math.min(this.#options.maxOutMs, this.#options.outMs * 2 ** this.#downs)
    this.#downs++
    return true
  }

  /** The endpoint answered when it was asked: it may be used again. */
  noteAlive (): void {
    this.#outUntilMs = -Infinity
  }

  #decay (): void {
    const nowMs = performance.now()
    const kept = 0.5 ** ((nowMs - this.#atMs) / this.#options.halfLifeMs)
    this.#requests *= kept
    this.#failures *= kept
    this.#atMs = nowMs
  }
}
