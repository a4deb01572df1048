import type { PrefixLevel, VmId } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { AttemptOutcome, LossReason } from '../endpoints/attemptOutcome.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { formatCandidates } from '../endpoints/candidateCounts.ts'
import type { ChosenEndpoint } from '../endpoints/endpointChooser.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { AttemptReporter } from './attemptReporter.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import { launchAttempt } from './launchAttempt.ts'
import { launchRelay } from './launchRelay.ts'
import type { PeerView } from '../peers/peerAddress.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RetryPermits } from './retryPermits.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Time without a response after which another endpoint is tried for a repeatable request, as a share of the objective. */
const STALL_TIMEOUT_OBJECTIVE_SHARE = 0.6

/** The same for another VM, which tries further endpoints itself meanwhile. */
const RELAY_TIMEOUT_OBJECTIVE_SHARE = 1.2

/** Where the next attempt of a request goes; `homeLevels` are the prefix levels by which the endpoint was chosen. */
export type NextTarget =
  | { type: 'endpoint', chosen: ChosenEndpoint, homeLevels: PrefixLevel[] }
  | { type: 'peer', peer: PeerView }

/** Parameters of the next attempt of a request. */
export interface NextAttempt {
  target: NextTarget
  /** Id of the last event that the caller has received; null for a stream from its start. */
  lastEventId: string | null
}

/** Starts and ends the attempts of one request, one at a time. */
export class AttemptRunner {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #permits: RetryPermits
  readonly #reporter: AttemptReporter
  readonly #triedEndpoints: string[] = []
  readonly #triedPeers: VmId[] = []
  #attemptCount = 0
  #current: RunningAttempt | null = null
  /** Software version of the endpoint that began the stream; null while any may serve it. */
  softwareVersion: string | null = null

  constructor (dependencies: FlowDependencies, plan: RequestPlan, permits: RetryPermits, reporter: AttemptReporter) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#permits = permits
    this.#reporter = reporter
    if (plan.relayed === null) return
    this.#triedEndpoints.push(...plan.relayed.triedEndpoints)
    this.softwareVersion = plan.relayed.softwareVersion
  }

  /** The attempt in flight; null between two attempts. */
  get current (): RunningAttempt | null {
    return this.#current
  }

  /** Endpoints of all attempts, in order. */
  get triedEndpoints (): readonly string[] {
    return this.#triedEndpoints
  }

  /** Other VMs of all attempts, in order. */
  get triedPeers (): readonly VmId[] {
    return this.#triedPeers
  }

  /** Sends the request to the chosen endpoint or VM. */
  start ({ target, lastEventId }: NextAttempt): RunningAttempt {
    const attemptNumber = ++this.#attemptCount
    this.#current = match(target)
      .with({ type: 'endpoint' }, ({ chosen, homeLevels }) => {
        this.#permits.recordSent()
        this.#triedEndpoints.push(chosen.record.entry.endpoint)
        return launchAttempt(this.#dependencies, this.#plan, { chosen, homeLevels, attemptNumber, lastEventId })
      })
      .with({ type: 'peer' }, ({ peer }) => this.#startRelay(peer, attemptNumber, lastEventId))
      .exhaustive()
    return this.#current
  }

  /** Records the end of an attempt; `hasReadPrompt` if the endpoint processed the whole prompt and so has it in its cache. */
  finish (runningAttempt: RunningAttempt, hasReadPrompt = false): void {
    if (this.#current !== runningAttempt) return
    this.#current = null
    this.#reporter.recordEnd(runningAttempt, hasReadPrompt)
  }

  /** Cancels the attempt in flight, if any. Unless the endpoint had begun its answer, it may have crashed under the request. */
  abandon (loss: LossReason): void {
    const runningAttempt = this.#current
    if (runningAttempt === null) return
    const { isSent, hasResponse } = runningAttempt.attempt
    runningAttempt.attempt.cancel(loss)
    if (isSent && !hasResponse && (runningAttempt.target.type === 'endpoint' || loss === LOSS_REASON.silent)) this.#reporter.recordUnanswered(runningAttempt)
    this.finish(runningAttempt)
  }

  /** Counts the pool's endpoints by what keeps them from being sent the next attempt, for a log line. */
  describeCandidates (): string {
    const { pool, route, call } = this.#plan
    return formatCandidates(this.#dependencies.chooser.countCandidates({ pool, prompt: route.usesPrefixes ? call.prompt : null, triedEndpoints: this.#triedEndpoints, softwareVersion: this.softwareVersion }))
  }

  /** Waits for the head of the response. A repeatable request is moved to another endpoint after a share of its objective. */
  async awaitOutcome (runningAttempt: RunningAttempt, onGivenUp: () => void): Promise<AttemptOutcome> {
    const { attempt, target, startedAtMs } = runningAttempt
    const { route } = this.#plan
    if (route.repeatability === REPEATABILITY.never) return await attempt.outcome
    const timer = setTimeout(() => {
      // An engine that produces tokens for other requests is busy, not lost, and has already processed part of the prompt.
      if (target.type === 'endpoint' && route.usesPrefixes && target.record.lastReceivedAtMs > startedAtMs) return
      if (!this.tryReserveMove()) return
      onGivenUp()
      attempt.cancel(LOSS_REASON.silent)
    }, route.objectiveMs * (target.type === 'endpoint' ? STALL_TIMEOUT_OBJECTIVE_SHARE : RELAY_TIMEOUT_OBJECTIVE_SHARE))
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

  /** One endpoint is kept for the case that the other VM is lost. */
  #startRelay (peer: PeerView, attemptNumber: number, lastEventId: string | null): RunningAttempt {
    const { configRevision } = this.#plan
    const endpointsLeft = Math.max(1, this.#permits.endpointsLeft - 1)
    this.#permits.recordSent(endpointsLeft)
    this.#triedPeers.push(peer.vm)
    const request = { from: this.#dependencies.vm, configRevision, endpointsLeft, triedEndpoints: [...this.#triedEndpoints], softwareVersion: this.softwareVersion }
    return launchRelay(this.#dependencies, this.#plan, { peer, attemptNumber, lastEventId, request })
  }
}
