import type { PrefixLevel } from 'knapweedshunt-types'
import type { AttemptOutcome, LossReason } from '../endpoints/attemptOutcome.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import type { ChosenEndpoint } from '../endpoints/endpointChooser.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import { buildCrashedAttempt } from './crashedAttempt.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import { launchAttempt } from './launchAttempt.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RetryPermits } from './retryPermits.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Time without a response after which another endpoint is tried for a repeatable request, as a share of the objective. */
const STALL_TIMEOUT_OBJECTIVE_SHARE = 0.6

/** Parameters of the next attempt of a request. */
export interface NextAttempt {
  chosen: ChosenEndpoint
  /** Prefix levels by which the endpoint was chosen. */
  homeLevels: PrefixLevel[]
  /** Id of the last event that the caller has received; null for a stream from its start. */
  lastEventId: string | null
}

/** Starts and ends the attempts of one request, one at a time. */
export class AttemptRunner {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #permits: RetryPermits
  readonly #triedEndpoints: string[] = []
  #current: RunningAttempt | null = null
  /** Software version of the endpoint that began the stream; null while any may serve it. */
  softwareVersion: string | null = null

  constructor (dependencies: FlowDependencies, plan: RequestPlan, permits: RetryPermits) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#permits = permits
  }

  /** The attempt in flight; null between two attempts. */
  get current (): RunningAttempt | null {
    return this.#current
  }

  /** Endpoints of all attempts, in order. */
  get triedEndpoints (): readonly string[] {
    return this.#triedEndpoints
  }

  /** Sends the request to the chosen endpoint. */
  start ({ chosen, homeLevels, lastEventId }: NextAttempt): RunningAttempt {
    const runningAttempt = launchAttempt(this.#dependencies, this.#plan, { chosen, homeLevels, attemptNumber: this.#triedEndpoints.length + 1, lastEventId })
    this.#permits.recordSent()
    this.#triedEndpoints.push(runningAttempt.record.entry.endpoint)
    this.#current = runningAttempt
    return runningAttempt
  }

  /** Records the end of an attempt; `hasReadPrompt` if the endpoint processed the whole prompt and so has it in its cache. */
  finish (runningAttempt: RunningAttempt, hasReadPrompt = false): void {
    if (this.#current !== runningAttempt) return
    const { record, attemptId, startedAtMs, expectedCachedTokens } = runningAttempt
    record.inFlightCount--
    this.#current = null
    this.#dependencies.endpointMonitor.recordEnd(record, startedAtMs)
    this.#dependencies.chooser.placement.handleEvent({ type: 'finished', attempt: attemptId, cachedTokens: hasReadPrompt ? expectedCachedTokens : null })
  }

  /** Cancels the attempt in flight, if any. Unless the endpoint had begun its answer, it may have crashed under the request. */
  abandon (loss: LossReason): void {
    const runningAttempt = this.#current
    if (runningAttempt === null) return
    const { isSent, hasResponse } = runningAttempt.attempt
    runningAttempt.attempt.cancel(loss)
    if (isSent && !hasResponse) this.#dependencies.recordUnanswered(buildCrashedAttempt(this.#plan, runningAttempt))
    this.finish(runningAttempt)
  }

  /** Waits for the head of the response. A repeatable request is moved to another endpoint after a share of its objective. */
  async awaitOutcome ({ attempt, record, startedAtMs }: RunningAttempt): Promise<AttemptOutcome> {
    const { route } = this.#plan
    if (route.repeatability === REPEATABILITY.never) return await attempt.outcome
    const timer = setTimeout(() => {
      // An engine that produces tokens for other requests is busy, not lost, and has already processed part of the prompt.
      if (route.usesPrefixes && record.lastReceivedAtMs > startedAtMs) return
      if (this.tryReserveMove()) attempt.cancel(LOSS_REASON.silent)
    }, route.objectiveMs * STALL_TIMEOUT_OBJECTIVE_SHARE)
    try {
      return await attempt.outcome
    } finally {
      clearTimeout(timer)
    }
  }

  /** Whether the request may be moved: its access key is usable, and the pool has an endpoint that was not tried and may serve it. */
  get canMove (): boolean {
    return this.#dependencies.isKeyUsable(this.#plan) && this.#dependencies.chooser.hasUntriedEndpoint(this.#plan.pool, this.#triedEndpoints, this.softwareVersion)
  }

  /** Reserves a retry at another endpoint. False if there is none: an attempt is not ended for silence alone. */
  tryReserveMove (): boolean {
    return this.canMove && this.#permits.tryReserve()
  }
}
