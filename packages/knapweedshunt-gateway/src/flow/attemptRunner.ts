import type { VmId } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { LossReason } from '../endpoints/attemptOutcome.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import type { PeerView } from '../peers/peerAddress.ts'
import type { AttemptReporter } from './attemptReporter.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import { launchAttempt } from './launchAttempt.ts'
import { launchRelay } from './launchRelay.ts'
import type { NextTarget } from './nextTarget.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RequestRecorder } from './requestRecorder.ts'
import type { RetryPermits } from './retryPermits.ts'
import type { RunningAttempt } from './runningAttempt.ts'

/** Parameters of the next attempt of a request. */
export interface NextAttempt {
  target: NextTarget
  /** Id of the last event that the caller has received; null for a stream from its start. */
  lastEventId: string | null
}

/** Starts and ends the attempts of one request: the current one, and at most one successor that may take over from it. */
export class AttemptRunner {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #permits: RetryPermits
  readonly #reporter: AttemptReporter
  readonly #recorder: RequestRecorder
  readonly #triedEndpoints: string[] = []
  readonly #triedPeers: VmId[] = []
  #attemptCount = 0
  #current: RunningAttempt | null = null
  #successor: RunningAttempt | null = null
  /** Software version of the endpoint that began the stream; null while any may serve it. */
  softwareVersion: string | null = null

  constructor (dependencies: FlowDependencies, plan: RequestPlan, permits: RetryPermits, reporter: AttemptReporter, recorder: RequestRecorder) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#permits = permits
    this.#reporter = reporter
    this.#recorder = recorder
    if (plan.relayed === null) return
    this.#triedEndpoints.push(...plan.relayed.triedEndpoints)
    this.softwareVersion = plan.relayed.softwareVersion
  }

  /** The current attempt; null between two attempts. */
  get current (): RunningAttempt | null {
    return this.#current
  }

  /** Whether bytes of the request may have left this VM in an attempt in flight. */
  get isSent (): boolean {
    return [this.#current, this.#successor].some(runningAttempt => runningAttempt?.attempt.isSent)
  }

  /** Endpoints of all attempts, in order. */
  get triedEndpoints (): readonly string[] {
    return this.#triedEndpoints
  }

  /** Other VMs of all attempts, in order. */
  get triedPeers (): readonly VmId[] {
    return this.#triedPeers
  }

  /** Whether another endpoint may be asked to take over: the access key is usable, and the pool has an endpoint that was not tried and may be sent a request. */
  get canAskSuccessor (): boolean {
    return this.#dependencies.isKeyUsable(this.#plan) && this.#dependencies.chooser.hasUntriedEndpoint(this.#plan.pool, this.#triedEndpoints, this.softwareVersion)
  }

  /** Sends the request to the chosen endpoint or VM. */
  start (nextAttempt: NextAttempt): RunningAttempt {
    this.#current = this.#launch(nextAttempt)
    return this.#current
  }

  /** Sends the request to one more endpoint or VM, while the current attempt goes on. */
  startSuccessor (nextAttempt: NextAttempt): RunningAttempt {
    this.#successor = this.#launch(nextAttempt)
    return this.#successor
  }

  /** Makes the successor the current attempt; the previous one must have ended. */
  adoptSuccessor (): void {
    this.#current = this.#successor
    this.#successor = null
  }

  /** Records the end of an attempt; `hasReadPrompt` if the endpoint processed the whole prompt and so has it in its cache. */
  finish (runningAttempt: RunningAttempt, hasReadPrompt = false): void {
    if (this.#current === runningAttempt) this.#current = null
    else if (this.#successor === runningAttempt) this.#successor = null
    else return
    this.#reporter.recordEnd(runningAttempt, hasReadPrompt)
  }

  /** Cancels the attempts in flight, if any. */
  abandon (loss: LossReason): void {
    for (const runningAttempt of [this.#current, this.#successor]) if (runningAttempt !== null) this.abandonAttempt(runningAttempt, loss)
  }

  /** Ends the attempts without a response whose endpoints have weights on which they may not begin any more; such an attempt counts as lost. */
  cancelOverdue (): void {
    const model = this.#plan.call.prompt?.model
    if (model === undefined) return
    for (const runningAttempt of [this.#current, this.#successor]) {
      if (runningAttempt === null || runningAttempt.weightsVersion === null || !runningAttempt.attempt.isSent || runningAttempt.attempt.hasResponse) continue
      if (!this.#dependencies.canBeginOn(model, runningAttempt.weightsVersion)) runningAttempt.attempt.cancel(LOSS_REASON.withdrawn)
    }
  }

  /** Cancels an attempt that is not needed, as another one serves the request. */
  cancelUnneeded (runningAttempt: RunningAttempt): void {
    runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
    this.#permits.recordUnneeded(runningAttempt)
    this.finish(runningAttempt)
  }

  /** Cancels an attempt. Unless the endpoint had begun its answer, it may have crashed under the request. */
  abandonAttempt (runningAttempt: RunningAttempt, loss: LossReason): void {
    if (runningAttempt !== this.#current && runningAttempt !== this.#successor) return
    const { isSent, hasResponse } = runningAttempt.attempt
    runningAttempt.attempt.cancel(loss)
    if (isSent && !hasResponse && (runningAttempt.target.type === 'endpoint' || loss === LOSS_REASON.silent)) this.#reporter.recordUnanswered(runningAttempt)
    this.finish(runningAttempt)
  }

  #launch ({ target, lastEventId }: NextAttempt): RunningAttempt {
    const attemptNumber = ++this.#attemptCount
    return match(target)
      .with({ type: 'endpoint' }, ({ chosen, homeLevels }) => {
        this.#permits.recordSent(1, chosen.record.entry.endpoint)
        this.#triedEndpoints.push(chosen.record.entry.endpoint)
        this.#recorder.recordSent(attemptNumber, chosen.record, lastEventId, chosen.decision)
        return launchAttempt(this.#dependencies, this.#plan, { chosen, homeLevels, attemptNumber, lastEventId })
      })
      .with({ type: 'peer' }, ({ peer }) => {
        this.#recorder.recordRelayed(attemptNumber, peer, lastEventId)
        return this.#launchRelay(peer, attemptNumber, lastEventId)
      })
      .exhaustive()
  }

  /** One endpoint is kept for the case that the other VM is lost. */
  #launchRelay (peer: PeerView, attemptNumber: number, lastEventId: string | null): RunningAttempt {
    const { configRevision } = this.#plan
    const endpointsLeft = Math.max(1, this.#permits.endpointsLeft - 1)
    this.#permits.recordSent(endpointsLeft, null)
    this.#triedPeers.push(peer.vm)
    const request = { from: this.#dependencies.vm, configRevision, endpointsLeft, triedEndpoints: [...this.#triedEndpoints], softwareVersion: this.softwareVersion }
    return launchRelay(this.#dependencies, this.#plan, { peer, attemptNumber, lastEventId, request })
  }
}
