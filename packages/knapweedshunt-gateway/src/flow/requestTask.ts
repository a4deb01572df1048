import { match } from 'ts-pattern'
import type { BodyShare } from 'knapweedshunt-utils'
import type { AttemptOutcome, LossReason, RefusedByPeer } from '../endpoints/attemptOutcome.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { CallerResponse } from '../shared/callerResponse.ts'
import { AttemptReporter } from './attemptReporter.ts'
import { AttemptRunner } from './attemptRunner.ts'
import { computeMaxWaitMs } from './computeMaxWaitMs.ts'
import { describeFailedOutcome, recordFailedOutcome } from './failedOutcome.ts'
import { FinalResponse } from './finalResponse.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import { buildHeadRaceOptions } from './buildHeadRaceOptions.ts'
import { raceForHead } from './headRace.ts'
import type { NextStep } from './nextStep.ts'
import { DONE, RETRY } from './nextStep.ts'
import type { NextTarget } from './nextTarget.ts'
import type { ResponseBody } from './readResponseBody.ts'
import { readArrivedCloses } from './readArrivedCloses.ts'
import type { RequestPlan } from './requestPlan.ts'
import { RequestRecorder } from './requestRecorder.ts'
import { ResponseForwarder } from './responseForwarder.ts'
import { RetryPermits } from './retryPermits.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { selectTarget } from './selectTarget.ts'
import type { AnsweredOutcome, TakenSuccession } from './succession.ts'
import type { SuccessorParts } from './successor.ts'

/** Maximum number of attempts that fail before a byte is sent, after which the request is refused. */
const MAX_UNSENT_ATTEMPTS = 3

/** Maximum number of other VMs to which a request is sent. */
const MAX_RELAY_ATTEMPTS = 3

/** Runs the attempts of one checked request until it has its final response. */
export class RequestTask {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #callerResponse: CallerResponse
  readonly #permits: RetryPermits
  readonly #reporter: AttemptReporter
  readonly #recorder: RequestRecorder
  readonly #finalResponse: FinalResponse
  readonly #attemptRunner: AttemptRunner
  readonly #responseMemory: BodyShare
  readonly #parts: SuccessorParts
  readonly #responseForwarder: ResponseForwarder
  #unsentCount = 0
  /** Time for which the request has waited until it could be sent, before all of its attempts, in milliseconds. */
  #waitedMs = 0

  constructor (dependencies: FlowDependencies, plan: RequestPlan, callerResponse: CallerResponse) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#callerResponse = callerResponse
    this.#permits = new RetryPermits(dependencies, plan)
    this.#reporter = new AttemptReporter(dependencies, plan)
    this.#recorder = new RequestRecorder(dependencies, plan, this.#reporter)
    this.#finalResponse = new FinalResponse(dependencies, plan, this.#recorder, callerResponse)
    this.#attemptRunner = new AttemptRunner(dependencies, plan, this.#permits, this.#reporter, this.#recorder)
    this.#responseMemory = dependencies.responseMemory.open()
    this.#parts = { attemptRunner: this.#attemptRunner, permits: this.#permits, recorder: this.#recorder, responseMemory: this.#responseMemory, reporter: this.#reporter, finalResponse: this.#finalResponse, runGuarded: handle => this.#runGuarded(handle) }
    this.#responseForwarder = new ResponseForwarder(dependencies, plan, callerResponse, this.#parts)
  }

  /** Runs until the request has its final response or its caller has disconnected. */
  async run (): Promise<void> {
    const { deadlineAtMs } = this.#plan
    const deadline = setTimeout(() => this.#runGuarded(() => this.#handleDeadline()), Math.max(0, deadlineAtMs - performance.now()))
    const { leaveSignal } = this.#callerResponse
    const handleLeft = () => this.#runGuarded(() => this.#handleCallerLeft())
    if (leaveSignal.aborted) handleLeft()
    else leaveSignal.addEventListener('abort', handleLeft, { once: true })
    try {
      this.#recorder.recordReceivedRelay()
      await readArrivedCloses()
      let step: NextStep = !this.#finalResponse.isSettled && await this.#findOrigin() ? RETRY : DONE
      while (step.type === 'retry' && !this.#finalResponse.isSettled) step = await this.#runNextAttempt()
    } catch (error) {
      this.#handleInternalError(error as Error)
    } finally {
      clearTimeout(deadline)
      leaveSignal.removeEventListener('abort', handleLeft)
      this.#finalResponse.settle()
      this.#recorder.recordEnd()
      // Whatever ended the task, its caller does not wait any longer.
      this.#callerResponse.abort()
      if (this.#callerResponse.isUnanswered) this.#recorder.recordUnanswered()
      this.#responseMemory.release()
    }
  }

  /** Ends the request at once, as this VM stops: with an answer, or with an aborted response if one has begun. */
  stop (): void {
    this.#runGuarded(() => this.#handleStop())
  }

  #handleStop (): void {
    if (this.#finalResponse.isSettled) return
    if (this.#attemptRunner.isSent) this.#finalResponse.recordMayHaveRun()
    const sentForMs = this.#recorder.getSentForMs()
    this.#finalResponse.fail('stopping', `the VM stops before the request is answered, ${sentForMs === null ? 'which was not sent' : `${sentForMs} ms after it was first sent`}`)
    this.#attemptRunner.abandon(LOSS_REASON.cancelled)
  }

  /** Moves a resumable stream away from one of these endpoints, so that the endpoint need not wait for its end. */
  moveStreamFrom (endpoints: ReadonlySet<string>): void {
    this.#runGuarded(() => this.#responseForwarder.moveStreamFrom(endpoints))
  }

  /** Withdraws what has not begun and may not begin any more where it was sent. */
  cancelOverdue (): void {
    this.#runGuarded(() => this.#attemptRunner.cancelOverdue())
  }

  get #isRepeatable (): boolean {
    return this.#plan.route.repeatability !== REPEATABILITY.never
  }

  /** Finds the software version at which a stream that the caller takes up again must go on; false if it is not known, so that the stream is refused. */
  async #findOrigin (): Promise<boolean> {
    const { call, route, identity, pool } = this.#plan
    if (this.#plan.relayed !== null || call.lastEventId === null || route.repeatability !== REPEATABILITY.resumed) return true
    const origin = await this.#dependencies.streamOrigins.findOrigin({ organisation: identity?.organisation ?? '', pool, firstRequestId: call.firstRequestId })
    const softwareVersion = origin.type === 'known' ? origin.softwareVersion : null
    this.#recorder.recordTakenUp(softwareVersion)
    this.#attemptRunner.softwareVersion = softwareVersion
    if (softwareVersion === null) this.#finalResponse.refuseStream()
    return softwareVersion !== null
  }

  async #runNextAttempt (): Promise<NextStep> {
    const target = await this.#selectTarget()
    if (target === null) return DONE
    this.#finalResponse.attemptCount++
    const { lastEventId } = this.#responseForwarder
    const runningAttempt = this.#attemptRunner.start({ target, lastEventId })
    const { outcome, taken } = await raceForHead(runningAttempt, buildHeadRaceOptions(this.#dependencies, this.#plan, this.#parts, runningAttempt, lastEventId))
    if (this.#finalResponse.isSettled) return DONE
    if (taken !== null) return await this.#followSuccessor(runningAttempt, outcome, taken)
    return outcome === null ? DONE : await this.#handleOutcome(runningAttempt, outcome)
  }

  /** Selects where the request goes next; null if it has its final response. */
  async #selectTarget (): Promise<NextTarget | null> {
    const { triedEndpoints, triedPeers, softwareVersion } = this.#attemptRunner
    const startedAtMs = performance.now()
    const selection = await selectTarget(this.#dependencies, this.#plan, { triedEndpoints: [...triedEndpoints], scope: this.#permits.scope, triedPeers: [...triedPeers], softwareVersion, maxWaitMs: this.#computeMaxWaitMs(), isCancelled: () => this.#finalResponse.isSettled })
    this.#waitedMs += performance.now() - startedAtMs
    if (this.#finalResponse.isSettled) return null
    if (selection.type === 'target') return selection.target
    match(selection)
      .with({ type: 'cancelled' }, () => {})
      .with({ type: 'keyRefused' }, ({ refusal }) => this.#finalResponse.refuseKey(refusal))
      .with({ type: 'quarantined' }, ({ quarantine }) => this.#finalResponse.quarantine(quarantine))
      .with({ type: 'overloaded' }, ({ retryAfterMs, detail }) => this.#finalResponse.refuseOverloaded(retryAfterMs, detail))
      .with({ type: 'stopping' }, () => this.#finalResponse.refuseStopping())
      .with({ type: 'unreached' }, () => this.#finalResponse.refuseUnreached())
      .with({ type: 'unplaced' }, ({ choice, candidates }) => this.#finalResponse.refuseUnplaced(choice, candidates))
      .exhaustive()
    return null
  }

  /** Maximum wait before the next attempt, in milliseconds. A request that endpoint after endpoint turns away waits no longer in all than before one; what may have run is better late than refused. */
  #computeMaxWaitMs (): number {
    const maxWaitMs = computeMaxWaitMs(this.#plan.route, this.#callerResponse.phase === 'begun')
    return this.#finalResponse.mayHaveRun ? maxWaitMs : Math.max(0, maxWaitMs - this.#waitedMs)
  }

  /** Goes on with the successor, whose response has begun. `outcome` is that of the attempt before; null if it is still silent. */
  async #followSuccessor (previous: RunningAttempt, outcome: AttemptOutcome | null, { runningAttempt, outcome: answered, body }: TakenSuccession): Promise<NextStep> {
    if (outcome === null) {
      this.#reporter.recordObservation(previous, HEALTH_OBSERVATION.failed, 'silent')
      this.#attemptRunner.abandonAttempt(previous, LOSS_REASON.silent)
      this.#recorder.recordAttemptEnded(previous, LOSS_REASON.silent, 'another attempt has a response', true)
    } else if (outcome.type !== 'answered') {
      recordFailedOutcome(this.#parts, previous, outcome)
      this.#recorder.recordAttemptEnded(previous, outcome.type, describeFailedOutcome(outcome), true)
    }
    this.#attemptRunner.adoptSuccessor()
    return await this.#handleResponse(runningAttempt, answered, body)
  }

  async #handleOutcome (runningAttempt: RunningAttempt, outcome: AttemptOutcome): Promise<NextStep> {
    if (outcome.type === 'answered') return await this.#handleResponse(runningAttempt, outcome)
    recordFailedOutcome(this.#parts, runningAttempt, outcome)
    return match(outcome)
      .with({ type: 'unsent' }, ({ reason }) => this.#handleUnsent(runningAttempt, reason))
      .with({ type: 'notRun' }, ({ status }) => this.#handleNotRun(runningAttempt, status))
      .with({ type: 'refused' }, refusal => this.#handleRefused(runningAttempt, refusal))
      .with({ type: 'lost' }, ({ loss, reason }) => this.#handleLost(runningAttempt, loss, reason))
      .exhaustive()
  }

  #handleUnsent (runningAttempt: RunningAttempt, reason: string): NextStep {
    this.#unsentCount++
    const isRetried = !this.#callerResponse.hasCallerLeft && this.#unsentCount < MAX_UNSENT_ATTEMPTS && performance.now() < this.#plan.deadlineAtMs
    this.#recorder.recordAttemptEnded(runningAttempt, 'unsent', reason, isRetried)
    if (isRetried) return RETRY
    this.#finalResponse.fail('no_free_endpoint', reason)
    return DONE
  }

  #handleNotRun (runningAttempt: RunningAttempt, status: number): NextStep {
    const isRetried = this.#tryTakeRetry()
    this.#recorder.recordAttemptEnded(runningAttempt, 'notRun', `status ${status}`, isRetried)
    if (isRetried) return this.#recordRetry()
    this.#finalResponse.fail('endpoint_refused', `status ${status}`)
    return DONE
  }

  /** Another VM may accept what this one refused for a reason of its own. */
  #handleRefused (runningAttempt: RunningAttempt, refusal: RefusedByPeer): NextStep {
    // The VM that refused may have taken a part of a streamed body.
    const isRetried = !this.#callerResponse.hasCallerLeft && refusal.isLocal && this.#attemptRunner.triedPeers.length < MAX_RELAY_ATTEMPTS && this.#plan.body.type !== 'streamed'
    this.#recorder.recordAttemptEnded(runningAttempt, 'refused', refusal.reason, isRetried)
    if (isRetried) return RETRY
    this.#finalResponse.refuseRelayed(refusal)
    return DONE
  }

  #handleLost (runningAttempt: RunningAttempt, loss: LossReason, reason: string): NextStep {
    const isRetried = this.#isRepeatable && this.#tryTakeRetry()
    this.#recorder.recordAttemptEnded(runningAttempt, loss, reason, isRetried)
    if (isRetried) return this.#recordRetry()
    this.#finalResponse.fail(loss === LOSS_REASON.bodyEnded ? 'body_too_slow' : 'endpoint_lost', `${loss}: ${reason}`)
    return DONE
  }

  /** Takes a permit to send the request once more; false for a caller that has left. */
  #tryTakeRetry (): boolean {
    return !this.#callerResponse.hasCallerLeft && this.#permits.tryTake(false)
  }

  #recordRetry (): NextStep {
    this.#dependencies.metrics.recordRetry(this.#plan.pool)
    return RETRY
  }

  async #handleResponse (runningAttempt: RunningAttempt, { head, response, relayedBy }: AnsweredOutcome, body: ResponseBody | null = null): Promise<NextStep> {
    if (relayedBy !== null) {
      runningAttempt.endpoint = relayedBy.endpoint
      runningAttempt.softwareVersion = relayedBy.softwareVersion
      this.#permits.recordRelayed(runningAttempt, relayedBy.endpointCount)
      this.#reporter.recordRelayedHead(relayedBy, head)
    }
    this.#reporter.recordResponseHead(runningAttempt, head)
    this.#reporter.recordReceivedBytes(runningAttempt)
    this.#finalResponse.recordMayHaveRun()
    const result = await this.#responseForwarder.forward(runningAttempt, response, body)
    return await match(result)
      .with({ type: 'lost' }, ({ reason }) => this.#handleOutcome(runningAttempt, { type: 'lost', loss: runningAttempt.attempt.bodyLoss, reason }))
      .with({ type: 'handedOver' }, async ({ taken }) => {
        this.#attemptRunner.adoptSuccessor()
        return await this.#handleResponse(taken.runningAttempt, taken.outcome)
      })
      .with({ type: 'retry' }, async () => this.#recordRetry())
      .with({ type: 'done' }, async () => DONE)
      .exhaustive()
  }

  /** Cancels the attempts in flight and refuses the request when its deadline has passed. */
  #handleDeadline (): void {
    if (this.#finalResponse.isSettled) return
    const runningAttempt = this.#attemptRunner.current
    if (runningAttempt !== null) this.#reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, 'no answer before the deadline')
    if (this.#attemptRunner.isSent) this.#finalResponse.recordMayHaveRun()
    this.#attemptRunner.abandon(LOSS_REASON.silent)
    this.#finalResponse.handleDeadline()
  }

  /** Ends what was begun for a caller that has left. Only an order that an endpoint may be running goes on; it is not sent again. */
  #handleCallerLeft (): void {
    if (this.#finalResponse.isSettled) return
    const { current } = this.#attemptRunner
    const isSent = this.#attemptRunner.isSent
    const isOrder = !this.#isRepeatable && !this.#plan.route.isStream
    const isKept = isOrder && isSent && current?.target.type === 'endpoint'
    this.#recorder.recordCallerLeft(current, isKept)
    if (isKept) return
    this.#finalResponse.handleCallerLeft(isSent)
    this.#attemptRunner.abandon(LOSS_REASON.cancelled)
  }

  /** Runs what a timer or a listener calls, so that an error there ends this request only. */
  #runGuarded (handle: () => void): void {
    try {
      handle()
    } catch (error) {
      this.#handleInternalError(error as Error)
    }
  }

  #handleInternalError ({ message }: Error): void {
    const { call, route } = this.#plan
    this.#dependencies.log.warn('Request failed with an internal error.', { requestId: call.requestId, route: route.name, reason: message })
    this.#attemptRunner.abandon(LOSS_REASON.cancelled)
    this.#finalResponse.fail('internal', message)
    this.#callerResponse.abort()
  }
}
