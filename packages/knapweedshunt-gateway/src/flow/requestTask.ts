import type http from 'node:http'
import { match } from 'ts-pattern'
import type { AttemptOutcome, ForwardedByPeer, LossReason, RefusedByPeer } from '../endpoints/attemptOutcome.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import type { ResponseHead } from '../ports/endpointPort.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { NextAttempt, NextTarget } from './attemptRunner.ts'
import { AttemptRunner } from './attemptRunner.ts'
import { AttemptReporter } from './attemptReporter.ts'
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

/** Maximum number of other VMs to which a request is sent. */
const MAX_RELAY_ATTEMPTS = 3

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
  readonly #reporter: AttemptReporter
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
    this.#reporter = new AttemptReporter(dependencies, plan)
    this.#recorder = new RequestRecorder(dependencies, plan, this.#reporter)
    this.#finalResponse = new FinalResponse(dependencies, plan, this.#recorder, callerResponse)
    this.#attemptRunner = new AttemptRunner(dependencies, plan, this.#permits, this.#reporter)
    this.#responseForwarder = new ResponseForwarder(dependencies, plan, callerResponse, { attemptRunner: this.#attemptRunner, permits: this.#permits, recorder: this.#recorder, reporter: this.#reporter, finalResponse: this.#finalResponse })
  }

  /** Runs until the request has its final response or its caller has disconnected. */
  async run (): Promise<void> {
    const { deadlineAtMs, route } = this.#plan
    const deadline = setTimeout(() => this.#handleDeadline(), Math.max(0, deadlineAtMs - performance.now()))
    this.#callerResponse.once('close', () => this.#handleConnectionClosed())
    this.#recorder.recordReceivedRelay()
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
    if (this.#plan.relayed !== null || call.lastEventId === null || route.repeatability !== REPEATABILITY.resumed) return true
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

  /** Checks the access key again and chooses where the request goes next; null if the request has its final response. */
  async #prepareAttempt (): Promise<NextAttempt | null> {
    const keyRefusal = await this.#dependencies.checkKey(this.#plan)
    if (keyRefusal !== null) {
      this.#finalResponse.refuseKey(keyRefusal)
      return null
    }
    const target = await this.#chooseTarget()
    // The quarantine is checked last, since crashes at other VMs are read while the request waits or runs.
    const quarantine = target === null || this.#finalResponse.isSettled ? null : this.#dependencies.findQuarantine(this.#plan)
    if (quarantine !== null) this.#finalResponse.quarantine(quarantine)
    if (target === null || this.#finalResponse.isSettled) return null
    const { lastEventId } = this.#responseForwarder
    const attempt = this.#finalResponse.attemptCount + 1
    match(target)
      .with({ type: 'endpoint' }, ({ chosen }) => this.#recorder.recordSent(attempt, chosen.record, lastEventId, chosen.decision))
      .with({ type: 'peer' }, ({ peer }) => this.#recorder.recordRelayed(attempt, peer, lastEventId))
      .exhaustive()
    return { target, lastEventId }
  }

  /** Chooses an endpoint, or another VM if this one reaches few; null if the request has its final response. What another VM has relayed is not relayed again. */
  async #chooseTarget (): Promise<NextTarget | null> {
    const { relays } = this.#dependencies
    const { pool, relayed } = this.#plan
    if (relayed !== null) {
      if (!relays.isCutOff(pool)) return await this.#chooseEndpoint()
      this.#finalResponse.refuseUnreached()
      return null
    }
    const route = await relays.select(pool, [...this.#attemptRunner.triedPeers])
    if (this.#finalResponse.isSettled) return null
    return match(route)
      .with({ type: 'direct' }, () => this.#chooseEndpoint())
      .with({ type: 'relay' }, ({ peer }): NextTarget => ({ type: 'peer', peer }))
      .with({ type: 'unreached' }, () => {
        this.#finalResponse.refuseUnreached()
        return null
      })
      .exhaustive()
  }

  async #chooseEndpoint (): Promise<NextTarget | null> {
    const homeLevels = this.#dependencies.chooser.findHomeLevels(this.#plan.levels)
    const choice = await waitForEndpoint(this.#dependencies, this.#plan, { homeLevels, triedEndpoints: [...this.#attemptRunner.triedEndpoints], softwareVersion: this.#attemptRunner.softwareVersion, acceptsVersion: this.#buildVersionFilter(), isCancelled: () => this.#finalResponse.isSettled })
    if (this.#finalResponse.isSettled) return null
    if (choice.type === 'chosen') return { type: 'endpoint', chosen: choice, homeLevels }
    this.#finalResponse.refuseUnplaced(choice)
    return null
  }

  /** A resumable stream begins only where other VMs can tell later what began it. */
  #buildVersionFilter (): ((softwareVersion: string) => boolean) | null {
    const { call, route, identity, pool } = this.#plan
    if (route.repeatability !== REPEATABILITY.resumed || call.lastEventId !== null || this.#attemptRunner.softwareVersion !== null) return null
    return softwareVersion => this.#dependencies.streamOrigins.canBegin({ organisation: identity?.organisation ?? '', pool, firstRequestId: call.requestId }, softwareVersion)
  }

  async #handleOutcome (runningAttempt: RunningAttempt, outcome: AttemptOutcome): Promise<NextStep> {
    if (outcome.type === 'unsent' || outcome.type === 'notRun' || (outcome.type === 'refused' && !outcome.mayHaveRun)) this.#permits.recordNotRun()
    return await match(outcome)
      .with({ type: 'unsent' }, ({ reason }) => this.#handleUnsent(runningAttempt, reason))
      .with({ type: 'notRun' }, ({ head, status }) => this.#handleNotRun(runningAttempt, head, status))
      .with({ type: 'refused' }, refusal => this.#handleRefused(runningAttempt, refusal))
      .with({ type: 'lost' }, ({ loss, reason }) => this.#handleLost(runningAttempt, loss, reason))
      .with({ type: 'answered' }, ({ head, response, relayedBy }) => this.#handleResponse(runningAttempt, head, response, relayedBy))
      .exhaustive()
  }

  #handleUnsent (runningAttempt: RunningAttempt, reason: string): NextStep {
    this.#reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.unreached, reason)
    this.#attemptRunner.finish(runningAttempt)
    this.#unsentCount++
    const isRetried = this.#unsentCount < MAX_UNSENT_ATTEMPTS && performance.now() < this.#plan.deadlineAtMs
    this.#recorder.recordAttemptEnded(runningAttempt, 'unsent', reason, isRetried)
    if (isRetried) return RETRY
    this.#finalResponse.fail('no_free_endpoint', reason)
    return DONE
  }

  #handleNotRun (runningAttempt: RunningAttempt, head: ResponseHead, status: number): NextStep {
    this.#reporter.recordResponseHead(runningAttempt, head)
    this.#attemptRunner.finish(runningAttempt)
    this.#notRunCount++
    const isRetried = this.#notRunCount <= MAX_NOT_RUN_RETRIES && this.#permits.tryTake(false)
    this.#recorder.recordAttemptEnded(runningAttempt, 'notRun', `status ${status}`, isRetried)
    if (isRetried) return this.#recordRetry()
    this.#finalResponse.fail('endpoint_refused', `status ${status}`)
    return DONE
  }

  /** Another VM may accept what this one refused for a reason of its own. */
  #handleRefused (runningAttempt: RunningAttempt, refusal: RefusedByPeer): NextStep {
    if (refusal.mayHaveRun) this.#finalResponse.recordMayHaveRun()
    if (refusal.isLocal) this.#reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.down, refusal.reason)
    this.#attemptRunner.finish(runningAttempt)
    const isRetried = refusal.isLocal && this.#attemptRunner.triedPeers.length < MAX_RELAY_ATTEMPTS
    this.#recorder.recordAttemptEnded(runningAttempt, 'refused', refusal.reason, isRetried)
    if (isRetried) return RETRY
    this.#finalResponse.refuseRelayed(refusal)
    return DONE
  }

  #handleLost (runningAttempt: RunningAttempt, loss: LossReason, reason: string): NextStep {
    this.#finalResponse.recordMayHaveRun()
    const observation = loss === LOSS_REASON.reset ? HEALTH_OBSERVATION.down : HEALTH_OBSERVATION.failed
    this.#reporter.recordObservation(runningAttempt, observation, reason)
    if (CRASH_LOSSES.includes(loss)) this.#reporter.recordCrash(runningAttempt, loss)
    if (loss === LOSS_REASON.silent) this.#reporter.recordUnanswered(runningAttempt)
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

  async #handleResponse (runningAttempt: RunningAttempt, head: ResponseHead, response: http.IncomingMessage, relayedBy: ForwardedByPeer | null): Promise<NextStep> {
    if (relayedBy !== null) {
      runningAttempt.endpoint = relayedBy.endpoint
      runningAttempt.softwareVersion = relayedBy.softwareVersion
      this.#permits.recordRelayed(relayedBy.endpointCount)
      this.#reporter.recordRelayedHead(relayedBy, head)
    }
    this.#reporter.recordResponseHead(runningAttempt, head)
    this.#reporter.recordReceivedBytes(runningAttempt)
    this.#finalResponse.recordMayHaveRun()
    const result = await this.#responseForwarder.forward(runningAttempt, response)
    return match(result)
      .with({ type: 'lost' }, ({ reason }) => this.#handleLost(runningAttempt, LOSS_REASON.cut, reason))
      .with({ type: 'retry' }, () => this.#recordRetry())
      .with({ type: 'done' }, () => DONE)
      .exhaustive()
  }

  /** Cancels the current attempt and refuses the request when its deadline has passed. */
  #handleDeadline (): void {
    if (this.#finalResponse.isSettled) return
    const runningAttempt = this.#attemptRunner.current
    if (runningAttempt !== null) this.#reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, 'no answer before the deadline')
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
