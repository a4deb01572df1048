import type { Incarnation, Liveness, LoadReport } from 'knapweedshunt-types'
import type { EndpointOptions } from './endpointOptions.ts'

/** How a request to an endpoint ended; `refused` means that the connection was refused. */
export type DataPathOutcome = 'answered' | 'failed' | 'refused'

/** Failure detector of one endpoint, based on its load reports and the outcomes of requests. `dead` is final for an incarnation. */
export class EndpointFailureDetector {
  readonly #options: EndpointOptions
  #load: LoadReport | null = null
  #incarnation: Incarnation = ''
  #lastHeardAtMs: number | null = null
  #failureTimesMs: number[] = []
  #consecutiveRefusals = 0
  #isLastPollAnswered = false
  #recoveries = 0
  #isDead = false

  constructor (options: EndpointOptions) {
    this.#options = options
  }

  /** Last load report; null before the first. */
  get load (): LoadReport | null {
    return this.#load
  }

  /** Incarnation, empty before the first report; an endpoint that reports again after it was dead gets a new one (suffix `~1`, `~2`, …). */
  get incarnation (): Incarnation {
    return this.#recoveries === 0 ? this.#incarnation : `${this.#incarnation}~${this.#recoveries}`
  }

  /** Whether a poll of the endpoint has completed, with or without an answer. */
  get isPolled (): boolean {
    return this.#lastHeardAtMs !== null
  }

  /** Time since the last load report, or since the first unanswered poll if there was none, in milliseconds; 0 before any poll. */
  get silentMs (): number {
    return this.#lastHeardAtMs === null ? 0 : performance.now() - this.#lastHeardAtMs
  }

  /** Whether the last poll was answered, and not too long ago. */
  get isReached (): boolean {
    return this.#isLastPollAnswered && this.silentMs < this.#options.suspectAfterMs
  }

  /** Records a load report; it revives a dead endpoint under a new incarnation. `recoveries` replaces the own count of incarnations when other VMs have polled the endpoint too. */
  recordLoad (load: LoadReport, recoveries?: number): void {
    if (recoveries !== undefined) this.#recoveries = recoveries
    else if (load.incarnation !== this.#incarnation) this.#recoveries = 0
    else if (this.evaluate() === 'dead') this.#recoveries++
    this.#isLastPollAnswered = true
    this.#isDead = false
    this.#incarnation = load.incarnation
    this.#load = load
    this.#lastHeardAtMs = performance.now()
    this.#consecutiveRefusals = 0
  }

  /** Records a poll without an answer; `isRefused` when the connection was refused. */
  recordUnansweredPoll (isRefused: boolean): void {
    this.#lastHeardAtMs ??= performance.now()
    this.#isLastPollAnswered = false
    this.#consecutiveRefusals = isRefused ? this.#consecutiveRefusals + 1 : 0
    this.evaluate()
  }

  /** Records the outcome of a request; an answered one clears the failures. */
  recordOutcome (outcome: DataPathOutcome): void {
    if (outcome === 'answered') this.#failureTimesMs = []
    else this.#failureTimesMs = [...this.#failureTimesMs.slice(1 - this.#options.suspectAfterFailures), performance.now()]
    this.evaluate()
  }

  /** Evaluates the state of the endpoint; once `dead`, it stays so until the next load report. */
  evaluate (): Liveness {
    if (this.#isDead || this.#hasDeadEvidence()) {
      this.#isDead = true
      return 'dead'
    }
    const failures = this.#countFailures()
    const isSuspect = this.silentMs >= this.#options.suspectAfterMs || failures >= this.#options.suspectAfterFailures
    return isSuspect ? 'suspect' : 'live'
  }

  #hasDeadEvidence (): boolean {
    const { deadAfterMs, deadAfterFailureMs: deadWithDataPathAfterMs, deadAfterRefusals } = this.#options
    if (this.silentMs >= deadAfterMs || this.#consecutiveRefusals >= deadAfterRefusals) return true
    return this.silentMs >= deadWithDataPathAfterMs && this.#countFailures() > 0
  }

  #countFailures (): number {
    const since = performance.now() - this.#options.failureWindowMs
    return this.#failureTimesMs.filter(at => at >= since).length
  }
}
