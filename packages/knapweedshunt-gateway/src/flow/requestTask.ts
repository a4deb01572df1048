import type http from 'node:http'
import { match } from 'ts-pattern'
import type { AttemptOutcome, LossReason } from '../endpoints/attemptOutcome.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import type { ResponseHead } from '../ports/endpointPort.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { NextAttempt } from './attemptRunner.ts'
import { AttemptRunner } from './attemptRunner.ts'
import { buildCrashedAttempt } from './crashedAttempt.ts'
import { FinalResponse } from './finalResponse.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { NextStep } from './nextStep.ts'
import { DONE, RETRY } from './nextStep.ts'
import type { RequestPlan } from './requestPlan.ts'
import { RequestRecorder } from './requestRecorder.ts'
import { ResponseForwarder } from './responseForwarder.ts'
import { RetryPermits } from './retryPermits.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { waitForEndpoint } from './waitForEndpoint.ts'

/** Maximum number of attempts that fail before a byte is sent, after which the request is refused. */
const MAX_UNSENT_ATTEMPTS = 3

/** Maximum number of retries after endpoints that report that they did not run the request. */
const MAX_NOT_RUN_RETRIES = 3

/** Losses that a crash of the endpoint causes. */
const CRASH_LOSSES: LossReason[] = [LOSS_REASON.reset, LOSS_REASON.cut]

/** Runs the attempts of one checked request until it has its final response. */
export class RequestTask {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #callerResponse: http.ServerResponse
  readonly #permits: RetryPermits
  readonly #recorder: RequestRecorder
  readonly #finalResponse: FinalResponse
  readonly #attemptRunner: AttemptRunner
  readonly #responseForwarder: ResponseForwarder
  #unsentCount = 0
  #notRunCount = 0

  constructor (dependencies: FlowDependencies, plan: RequestPlan, callerResponse: http.ServerResponse) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#callerResponse = callerResponse
    this.#permits = new RetryPermits(dependencies, plan)
    this.#recorder = new RequestRecorder(dependencies, plan)
    this.#finalResponse = new FinalResponse(dependencies, plan, this.#recorder, callerResponse)
    this.#attemptRunner = new AttemptRunner(dependencies, plan, this.#permits)
    this.#responseForwarder = new ResponseForwarder(dependencies, plan, callerResponse, { attemptRunner: this.#attemptRunner, permits: this.#permits, recorder: this.#recorder, finalResponse: this.#finalResponse })
  }

  /** Runs until the request has its final response or its caller has disconnected. */
  async run (): Promise<void> {
    const { deadlineAtMs, route } = this.#plan
    const deadline = setTimeout(() => this.#handleDeadline(), Math.max(0, deadlineAtMs - performance.now()))
    this.#callerResponse.once('close', () => this.#handleConnectionClosed())
    try {
      let step: NextStep = await this.#findOrigin() ? RETRY : DONE
      while (step.type === 'retry' && !this.#finalResponse.isSettled) step = await this.#runNextAttempt()
    } catch (error) {
      this.#dependencies.log.warn('Request failed with an internal error.', { requestId: this.#plan.call.requestId, route: route.name, reason: (error as Error).message })
      this.#attemptRunner.current?.attempt.cancel(LOSS_REASON.cancelled)
      this.#finalResponse.fail('internal', (error as Error).message)
    } finally {
      clearTimeout(deadline)
      this.#finalResponse.settle()
    }
  }

  /** Ends the request at once, as this VM stops: with an answer, or with an aborted response if one has begun. */
  stop (): void {
    if (this.#finalResponse.isSettled) return
    if (this.#attemptRunner.current?.attempt.isSent) this.#finalResponse.recordMayHaveRun()
    this.#finalResponse.fail('stopping', 'the VM stops before the request is answered')
    this.#attemptRunner.abandon(LOSS_REASON.cancelled)
  }

  /** Moves a resumable stream away from one of these endpoints, so that the endpoint need not wait for its end. */
  moveStreamFrom (endpoints: ReadonlySet<string>): void {
    this.#responseForwarder.moveStreamFrom(endpoints)
  }

  get #isRepeatable (): boolean {
    return this.#plan.route.repeatability !== REPEATABILITY.never
  }

  /** Finds the software version at which a stream that the caller takes up again must go on; false if it is not known, so that the stream is refused. */
  async #findOrigin (): Promise<boolean> {
    const { call, route, identity, pool } = this.#plan
    if (call.lastEventId === null || route.repeatability !== REPEATABILITY.resumed) return true
    const origin = await this.#dependencies.streamOrigins.findOrigin({ organisation: identity?.organisation ?? '', pool, firstRequestId: call.firstRequestId })
    const softwareVersion = origin.type === 'known' ? origin.softwareVersion : null
    this.#recorder.recordTakenUp(softwareVersion)
    this.#attemptRunner.softwareVersion = softwareVersion
    if (softwareVersion === null) this.#finalResponse.refuseStream()
    return softwareVersion !== null
  }

  async #runNextAttempt (): Promise<NextStep> {
    const nextAttempt = await this.#prepareAttempt()
    if (nextAttempt === null) return DONE
    const runningAttempt = this.#attemptRunner.start(nextAttempt)
    this.#finalResponse.attemptCount++
    const outcome = await this.#attemptRunner.awaitOutcome(runningAttempt)
    if (this.#finalResponse.isSettled) return DONE
    return await this.#handleOutcome(runningAttempt, outcome)
  }

  /** Checks the access key again and chooses the next endpoint; null if the request has its final response. The quarantine is checked last, since crashes at other VMs are read while the request waits or runs. */
  async #prepareAttempt (): Promise<NextAttempt | null> {
    const keyRefusal = await this.#dependencies.checkKey(this.#plan)
    if (keyRefusal !== null) {
      this.#finalResponse.refuseKey(keyRefusal)
      return null
    }
    const homeLevels = this.#dependencies.chooser.findHomeLevels(this.#plan.levels)
    const chosen = await waitForEndpoint(this.#dependencies, this.#plan, { homeLevels, triedEndpoints: [...this.#attemptRunner.triedEndpoints], softwareVersion: this.#attemptRunner.softwareVersion, isCancelled: () => this.#finalResponse.isSettled })
    if (this.#finalResponse.isSettled) return null
    if (chosen.type !== 'chosen') {
      this.#finalResponse.refuseUnplaced(chosen)
      return null
    }
    const quarantine = this.#dependencies.findQuarantine(this.#plan)
    if (quarantine !== null) {
      this.#finalResponse.quarantine(quarantine)
      return null
    }
    const { lastEventId } = this.#responseForwarder
    this.#recorder.recordSent(this.#finalResponse.attemptCount + 1, chosen.record, lastEventId, chosen.decision)
    return { chosen, homeLevels, lastEventId }
  }

  async #handleOutcome (runningAttempt: RunningAttempt, outcome: AttemptOutcome): Promise<NextStep> {
    if (outcome.type === 'unsent' || outcome.type === 'notRun') this.#permits.recordNotRun()
    return await match(outcome)
      .with({ type: 'unsent' }, ({ reason }) => this.#handleUnsent(runningAttempt, reason))
      .with({ type: 'notRun' }, ({ head, status }) => this.#handleNotRun(runningAttempt, head, status))
      .with({ type: 'lost' }, ({ loss, reason }) => this.#handleLost(runningAttempt, loss, reason))
      .with({ type: 'answered' }, ({ head, response }) => this.#handleResponse(runningAttempt, head, response))
      .exhaustive()
  }

  #handleUnsent (runningAttempt: RunningAttempt, reason: string): NextStep {
    this.#dependencies.endpointMonitor.recordObservation(runningAttempt.record, HEALTH_OBSERVATION.down, reason)
    this.#attemptRunner.finish(runningAttempt)
    this.#unsentCount++
    const isRetried = this.#unsentCount < MAX_UNSENT_ATTEMPTS && performance.now() < this.#plan.deadlineAtMs
    this.#recorder.recordAttemptEnded(runningAttempt, 'unsent', reason, isRetried)
    if (isRetried) return RETRY
    this.#finalResponse.fail('no_free_endpoint', reason)
    return DONE
  }

  #handleNotRun (runningAttempt: RunningAttempt, head: ResponseHead, status: number): NextStep {
    this.#applyResponseHead(runningAttempt, head)
    this.#attemptRunner.finish(runningAttempt)
    this.#notRunCount++
    const isRetried = this.#notRunCount <= MAX_NOT_RUN_RETRIES && this.#permits.tryTake(false)
    this.#recorder.recordAttemptEnded(runningAttempt, 'notRun', `status ${status}`, isRetried)
    if (isRetried) return this.#recordRetry()
    this.#finalResponse.fail('endpoint_refused', `status ${status}`)
    return DONE
  }

  #handleLost (runningAttempt: RunningAttempt, loss: LossReason, reason: string): NextStep {
    this.#finalResponse.recordMayHaveRun()
    const observation = loss === LOSS_REASON.reset ? HEALTH_OBSERVATION.down : HEALTH_OBSERVATION.failed
    this.#dependencies.endpointMonitor.recordObservation(runningAttempt.record, observation, reason)
    if (CRASH_LOSSES.includes(loss)) this.#dependencies.recordCrash(buildCrashedAttempt(this.#plan, runningAttempt), loss)
    if (loss === LOSS_REASON.silent) this.#dependencies.recordUnanswered(buildCrashedAttempt(this.#plan, runningAttempt))
    this.#attemptRunner.finish(runningAttempt)
    const isRetried = this.#isRepeatable && this.#permits.tryTake(false)
    this.#recorder.recordAttemptEnded(runningAttempt, loss, reason, isRetried)
    if (isRetried) return this.#recordRetry()
    this.#finalResponse.fail('endpoint_lost', `${loss}: ${reason}`)
    return DONE
  }

  #recordRetry (): NextStep {
    this.#dependencies.metrics.recordRetry(this.#plan.pool)
    return RETRY
  }

  async #handleResponse (runningAttempt: RunningAttempt, head: ResponseHead, response: http.IncomingMessage): Promise<NextStep> {
    this.#applyResponseHead(runningAttempt, head)
    this.#dependencies.endpointMonitor.recordReceivedBytes(runningAttempt.record)
    this.#finalResponse.recordMayHaveRun()
    const result = await this.#responseForwarder.forward(runningAttempt, response)
    return match(result)
      .with({ type: 'lost' }, ({ reason }) => this.#handleLost(runningAttempt, LOSS_REASON.cut, reason))
      .with({ type: 'retry' }, () => this.#recordRetry())
      .with({ type: 'done' }, () => DONE)
      .exhaustive()
  }

  #applyResponseHead ({ record, startedAtMs }: RunningAttempt, head: ResponseHead): void {
    const model = this.#plan.call.prompt?.model
    if (head.weightsVersion !== null && model !== undefined && record.recordVersion(model, head.weightsVersion)) this.#dependencies.chooser.rebuild()
    if (head.load !== null) this.#dependencies.chooser.recordLoad(record, head.load)
    this.#dependencies.endpointLimits.recordResponse(record, head.limit, this.#plan.call.requestId, startedAtMs)
  }

  /** Cancels the current attempt and refuses the request when its deadline has passed. */
  #handleDeadline (): void {
    if (this.#finalResponse.isSettled) return
    const runningAttempt = this.#attemptRunner.current
    if (runningAttempt !== null) this.#dependencies.endpointMonitor.recordObservation(runningAttempt.record, HEALTH_OBSERVATION.failed, 'no answer before the deadline')
    if (runningAttempt?.attempt.isSent) this.#finalResponse.recordMayHaveRun()
    this.#attemptRunner.abandon(LOSS_REASON.silent)
    this.#finalResponse.handleDeadline()
  }

  /** Handles a disconnect of the caller. An order continues without its caller; repeatable requests and streams are cancelled at the endpoint too. */
  #handleConnectionClosed (): void {
    if (this.#finalResponse.isSettled || this.#callerResponse.writableFinished) return
    const isRunning = this.#attemptRunner.current !== null
    if (!this.#isRepeatable && !this.#plan.route.isStream && isRunning) return
    this.#finalResponse.handleCallerLeft(isRunning)
    this.#attemptRunner.abandon(LOSS_REASON.cancelled)
  }
}
