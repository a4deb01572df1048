import type { Incarnation, Liveness, LoadReport } from 'knapweedshunt-types'
import type { EndpointOptions } from './endpointOptions.ts'

/** What the data path saw of an endpoint. */
export type DataPathOutcome = 'answered' | 'failed' | 'refused'

/** Evidence of one endpoint, from its load reports and the data path together. `dead` is final for an incarnation. */
export class EndpointEvidence {
  readonly #options: EndpointOptions
  #load: LoadReport | null = null
  #incarnation: Incarnation = ''
  #heardAtMs: number | null = null
  #failedAtMs: number[] = []
  #refusals = 0
  #lives = 0
  #isDead = false

  constructor (options: EndpointOptions) {
    this.#options = options
  }

  /** Last load report. */
  get load (): LoadReport | null {
    return this.#load
  }

  /** Incarnation; one that answers again after it was dead counts as another. */
  get incarnation (): Incarnation {
    return this.#lives === 0 ? this.#incarnation : `${this.#incarnation}~${this.#lives}`
  }

  /** Whether this VM polled the endpoint. */
  get isPolled (): boolean {
    return this.#heardAtMs !== null
  }

  /** Time since the endpoint was heard, or first polled in vain, in milliseconds; 0 when it was not polled. */
  get silentMs (): number {
    return this.#heardAtMs === null ? 0 : performance.now() - this.#heardAtMs
  }

  /** Takes a load report. */
  takeLoad (load: LoadReport): void {
    if (load.incarnation !== this.#incarnation) this.#lives = 0
    else if (this.judge() === 'dead') this.#lives++
    this.#isDead = false
    this.#incarnation = load.incarnation
    this.#load = load
    this.#heardAtMs = performance.now()
    this.#refusals = 0
  }

  /** Takes that a load report was not answered. */
  takeSilence (isRefused: boolean): void {
    this.#heardAtMs ??= performance.now()
    this.#refusals = isRefused ? this.#refusals + 1 : 0
    this.judge()
  }

  /** Takes what the data path saw. */
  takeOutcome (outcome: DataPathOutcome): void {
    if (outcome === 'answered') this.#failedAtMs = []
    else this.#failedAtMs = [...this.#failedAtMs.slice(1 - this.#options.suspectAfterFailures), performance.now()]
    this.judge()
  }

  /** Judges the endpoint. */
  judge (): Liveness {
    if (this.#isDead || this.#isFound()) {
      this.#isDead = true
      return 'dead'
    }
    const failures = this.#countFailures()
    const isSuspect = this.silentMs >= this.#options.suspectAfterMs || failures >= this.#options.suspectAfterFailures
    return isSuspect ? 'suspect' : 'live'
  }

  #isFound (): boolean {
    const { deadAfterMs, deadWithDataPathAfterMs, deadAfterRefusals } = this.#options
    if (this.silentMs >= deadAfterMs || this.#refusals >= deadAfterRefusals) return true
    return this.silentMs >= deadWithDataPathAfterMs && this.#countFailures() > 0
  }

  #countFailures (): number {
    const since = performance.now() - this.#options.failureMs
    return this.#failedAtMs.filter(at => at >= since).length
  }
}
