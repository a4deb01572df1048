import type http from 'node:http'
import type { PrefixLevel } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { ResponseHead } from '../ports/endpointPort.ts'
import type { AttemptOutcome, LossReason } from '../endpoints/attemptOutcome.ts'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import type { Choice } from '../endpoints/endpointChooser.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import { ResponseHeadWriter } from './responseHeadWriter.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { buildCrashedAttempt } from './crashedAttempt.ts'
import { FinalResponse } from './finalResponse.ts'
import { launchAttempt } from './launchAttempt.ts'
import { readResponseBody } from './readResponseBody.ts'
import { RetryPermits } from './retryPermits.ts'
import type { RequestPlan } from './requestPlan.ts'
import { RequestRecorder } from './requestRecorder.ts'
import { StreamRelay } from './streamRelay.ts'
import type { StreamInterruption } from './streamRelay.ts'
import { waitForEndpoint } from './waitForEndpoint.ts'

/** Statuses that tell a caller that the request did not run and will not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

/** Maximum number of attempts that fail before a byte is sent, after which the request is refused. */
const MAX_UNSENT_ATTEMPTS = 3

/** Maximum number of retries after endpoints that report that they did not run the request. */
const MAX_NOT_RUN_RETRIES = 3

/** Time without a response after which another endpoint is tried for a repeatable request, as a share of the objective. */
const STALL_TIMEOUT_OBJECTIVE_SHARE = 0.6

/** Pause after which a resumable stream is moved to another endpoint, as a multiple of the pause objective. */
const STALL_TIMEOUT_PAUSE_FACTOR = 2

/** Pause objective of a stream whose route sets none, in milliseconds. */
const DEFAULT_PAUSE_OBJECTIVE_MS = 500

const MIN_SERVER_ERROR_STATUS = 500

/** Losses that a crash of the endpoint causes. */
const CRASH_LOSSES: LossReason[] = [LOSS_REASON.reset, LOSS_REASON.cut]

type ChosenEndpoint = Extract<Choice, { type: 'chosen' }>

type NextStep = { type: 'done' } | { type: 'retry' }
const DONE: NextStep = { type: 'done' }
const RETRY: NextStep = { type: 'retry' }

/** Runs the attempts of one checked request until it has its final response. */
export class RequestTask {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #callerResponse: http.ServerResponse
  readonly #relay: StreamRelay
  readonly #responseHeadWriter: ResponseHeadWriter
  readonly #permits: RetryPermits
  readonly #recorder: RequestRecorder
  readonly #finalResponse: FinalResponse
  readonly #triedEndpoints: string[] = []
  #runningAttempt: RunningAttempt | null = null
  #homeLevels: PrefixLevel[] = []
  #unsentCount = 0
  #notRunCount = 0
  /** Whether a stream of the current attempt is being forwarded. */
  #isStreaming = false
  #isMoved = false

  constructor (dependencies: FlowDependencies, plan: RequestPlan, callerResponse: http.ServerResponse) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#callerResponse = callerResponse
    this.#recorder = new RequestRecorder(dependencies, plan)
    this.#finalResponse = new FinalResponse(dependencies, plan, this.#recorder, callerResponse)
    this.#responseHeadWriter = new ResponseHeadWriter(callerResponse, plan.call.method)
    this.#permits = new RetryPermits(dependencies, plan)
    this.#relay = new StreamRelay(callerResponse, plan.route.repeatability === REPEATABILITY.resumed, plan.call.lastEventId)
  }

  /** Runs until the request has its final response or its caller has disconnected. */
  async run (): Promise<void> {
    const { deadlineAtMs, route } = this.#plan
    const deadline = setTimeout(() => this.#handleDeadline(), Math.max(0, deadlineAtMs - performance.now()))
    this.#callerResponse.once('close', () => this.#handleConnectionClosed())
    try {
      let step: NextStep = RETRY
      while (step.type === 'retry' && !this.#finalResponse.isSettled) step = await this.#runNextAttempt()
    } catch (error) {
      this.#dependencies.log.warn('Request failed with an internal error.', { requestId: this.#plan.call.requestId, route: route.name, reason: (error as Error).message })
      this.#runningAttempt?.attempt.cancel(LOSS_REASON.cancelled)
      this.#finalResponse.fail('internal', (error as Error).message)
    } finally {
      clearTimeout(deadline)
      this.#finalResponse.settle()
    }
  }

  /** Ends the request at once, as this VM stops: with an answer, or with an aborted response if one has begun. */
  stop (): void {
    if (this.#finalResponse.isSettled) return
    if (this.#runningAttempt?.attempt.isSent) this.#finalResponse.recordMayHaveRun()
    this.#finalResponse.fail('stopping', 'the VM stops before the request is answered')
    this.#cancelAttempt(LOSS_REASON.cancelled)
  }

  /** Moves a resumable stream away from one of these endpoints, so that the endpoint need not wait for its end. */
  moveStreamFrom (endpoints: ReadonlySet<string>): void {
    const runningAttempt = this.#runningAttempt
    if (runningAttempt === null || !this.#isStreaming || this.#plan.route.repeatability !== REPEATABILITY.resumed || !endpoints.has(runningAttempt.record.entry.endpoint)) return
    if (!this.#dependencies.chooser.hasUntriedEndpoint(this.#plan.pool, this.#triedEndpoints) || !this.#permits.tryTake(true)) return
    this.#isMoved = true
    runningAttempt.attempt.cancel(LOSS_REASON.moved)
  }

  #cancelAttempt (loss: LossReason): void {
    const runningAttempt = this.#runningAttempt
    if (runningAttempt === null) return
    runningAttempt.attempt.cancel(loss)
    this.#finishAttempt(runningAttempt)
  }

  get #isRepeatable (): boolean {
    return this.#plan.route.repeatability !== REPEATABILITY.never
  }

  async #runNextAttempt (): Promise<NextStep> {
    const chosen = await this.#findEndpoint()
    if (chosen === null) return DONE
    const runningAttempt = this.#startAttempt(chosen)
    const outcome = await this.#awaitOutcome(runningAttempt)
    if (this.#finalResponse.isSettled) return DONE
    return await this.#handleOutcome(runningAttempt, outcome)
  }

  /** Chooses the next endpoint; null if the request has its final response. The quarantine and the access key are checked last, since they may change while the request waits or runs. */
  async #findEndpoint (): Promise<ChosenEndpoint | null> {
    this.#homeLevels = this.#dependencies.chooser.findHomeLevels(this.#plan.levels)
    const choice = await waitForEndpoint(this.#dependencies, this.#plan, { homeLevels: this.#homeLevels, triedEndpoints: this.#triedEndpoints, isCancelled: () => this.#finalResponse.isSettled })
    if (this.#finalResponse.isSettled) return null
    if (choice.type !== 'chosen') {
      this.#finalResponse.fail(choice.type === 'none' ? 'no_endpoint' : 'no_free_endpoint', 'no endpoint can accept the request')
      return null
    }
    const quarantine = this.#dependencies.findQuarantine(this.#plan)
    if (quarantine !== null) {
      this.#finalResponse.quarantine(quarantine)
      return null
    }
    if (!this.#dependencies.isKeyConfirmed(this.#plan)) {
      this.#finalResponse.fail('keys_unconfirmed', 'the access key was removed, or not confirmed in time')
      return null
    }
    this.#recorder.recordSent(this.#finalResponse.attemptCount + 1, choice.record, choice.decision)
    return choice
  }

  #startAttempt (chosen: ChosenEndpoint): RunningAttempt {
    const runningAttempt = launchAttempt(this.#dependencies, this.#plan, { chosen, homeLevels: this.#homeLevels, attemptNumber: ++this.#finalResponse.attemptCount, lastEventId: this.#relay.lastEventId })
    this.#permits.recordSent()
    this.#triedEndpoints.push(runningAttempt.record.entry.endpoint)
    this.#runningAttempt = runningAttempt
    return runningAttempt
  }

  /** Records the end of an attempt; `hasReadPrompt` if the endpoint processed the whole prompt and so has it in its cache. */
  #finishAttempt (runningAttempt: RunningAttempt, hasReadPrompt = false): void {
    if (this.#runningAttempt !== runningAttempt) return
    const { record, attemptId, startedAtMs, expectedCachedTokens } = runningAttempt
    record.inFlightCount--
    this.#runningAttempt = null
    this.#dependencies.endpointMonitor.recordEnd(record, startedAtMs)
    this.#dependencies.chooser.placement.handleEvent({ type: 'finished', attempt: attemptId, cachedTokens: hasReadPrompt ? expectedCachedTokens : null })
  }

  /** Waits for the head of the response. A repeatable request is moved to another endpoint after a share of its objective. */
  async #awaitOutcome ({ attempt, record, startedAtMs }: RunningAttempt): Promise<AttemptOutcome> {
    const { route } = this.#plan
    if (!this.#isRepeatable) return await attempt.outcome
    const timer = setTimeout(() => {
      // An engine that produces tokens for other requests is busy, not lost, and has already processed part of the prompt.
      if (route.usesPrefixes && record.lastReceivedAtMs > startedAtMs) return
      if (this.#tryReserveMove()) attempt.cancel(LOSS_REASON.silent)
    }, route.objectiveMs * STALL_TIMEOUT_OBJECTIVE_SHARE)
    try {
      return await attempt.outcome
    } finally {
      clearTimeout(timer)
    }
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
    this.#finishAttempt(runningAttempt)
    this.#unsentCount++
    const isRetried = this.#unsentCount < MAX_UNSENT_ATTEMPTS && performance.now() < this.#plan.deadlineAtMs
    this.#recorder.recordAttemptEnded(runningAttempt, 'unsent', reason, isRetried)
    if (isRetried) return RETRY
    this.#finalResponse.fail('no_free_endpoint', reason)
    return DONE
  }

  #handleNotRun (runningAttempt: RunningAttempt, head: ResponseHead, status: number): NextStep {
    this.#applyResponseHead(runningAttempt.record, head)
    this.#finishAttempt(runningAttempt)
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
    this.#finishAttempt(runningAttempt)
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
    this.#applyResponseHead(runningAttempt.record, head)
    this.#dependencies.endpointMonitor.recordReceivedBytes(runningAttempt.record)
    const status = response.statusCode ?? 0
    this.#finalResponse.recordMayHaveRun()
    const isStream = this.#plan.route.isStream && status < 300
    return isStream ? await this.#forwardStream(runningAttempt, response) : await this.#forwardResponse(runningAttempt, response, status)
  }

  async #forwardResponse (runningAttempt: RunningAttempt, response: http.IncomingMessage, status: number): Promise<NextStep> {
    const body = await readResponseBody(response)
    if (this.#finalResponse.isSettled) {
      this.#finishAttempt(runningAttempt)
      return DONE
    }
    if (body.type === 'cut') return this.#handleLost(runningAttempt, LOSS_REASON.cut, body.reason)
    const isFailure = status >= MIN_SERVER_ERROR_STATUS
    this.#dependencies.endpointMonitor.recordObservation(runningAttempt.record, isFailure ? HEALTH_OBSERVATION.failed : HEALTH_OBSERVATION.served, `status ${status}`)
    if (isFailure && this.#isRepeatable && this.#permits.tryTake(false)) {
      response.destroy()
      this.#finishAttempt(runningAttempt)
      this.#recorder.recordAttemptEnded(runningAttempt, 'failed', `status ${status}`, true)
      return this.#recordRetry()
    }
    if (NOT_RUN_STATUSES.includes(status) && !this.#isRepeatable) {
      // The endpoint did not report that the request did not run, so a status that implies it must not be forwarded.
      response.destroy()
      this.#finishAttempt(runningAttempt)
      this.#finalResponse.refuse('endpoint_refused', 502, `status ${status} without a report that the request did not run`)
      return DONE
    }
    const firstByteMs = performance.now() - this.#plan.arrivedAtMs
    this.#responseHeadWriter.writeHead(response, status, body.type === 'buffered' ? body.bytes.length : null)
    if (body.type === 'large') return await this.#forwardLargeResponse(runningAttempt, response, body.firstChunks, firstByteMs)
    this.#callerResponse.end(body.bytes)
    this.#finishAttempt(runningAttempt)
    this.#recorder.recordAnswered(runningAttempt, status, firstByteMs, 0, body.bytes.length)
    return DONE
  }

  /** Forwards a response above the buffer limit chunk by chunk; the request cannot be retried any more. */
  async #forwardLargeResponse (runningAttempt: RunningAttempt, response: http.IncomingMessage, firstChunks: Buffer[], firstByteMs: number): Promise<NextStep> {
    for (const chunk of firstChunks) this.#callerResponse.write(chunk)
    const result = await this.#relay.forward(response, { stallTimeoutMs: null, canCut: () => false, onChunk: () => {} })
    this.#finishAttempt(runningAttempt)
    if (result.type === 'callerLeft') {
      if (!this.#finalResponse.isSettled) this.#finalResponse.handleCallerLeft(true)
      return DONE
    }
    if (result.type !== 'complete') {
      const reason = describeInterruption(result)
      this.#dependencies.endpointMonitor.recordObservation(runningAttempt.record, HEALTH_OBSERVATION.failed, reason)
      this.#dependencies.recordCrash(buildCrashedAttempt(this.#plan, runningAttempt), LOSS_REASON.cut)
      this.#recorder.recordAttemptEnded(runningAttempt, LOSS_REASON.cut, reason, false)
      this.#finalResponse.abortResponse(reason)
      return DONE
    }
    this.#callerResponse.end()
    this.#recorder.recordAnswered(runningAttempt, response.statusCode ?? 0, firstByteMs, this.#relay.longestPauseMs, firstChunks.reduce((sum, chunk) => sum + chunk.length, this.#relay.bytes))
    return DONE
  }

  async #forwardStream (runningAttempt: RunningAttempt, response: http.IncomingMessage): Promise<NextStep> {
    const { route, levels } = this.#plan
    if (runningAttempt.cacheSalt !== null) this.#dependencies.chooser.prefixLocations.recordLocation(levels, runningAttempt.cacheSalt, runningAttempt.record)
    if (!this.#callerResponse.headersSent) this.#responseHeadWriter.writeHead(response, response.statusCode ?? 0, null)
    const isResumable = route.repeatability === REPEATABILITY.resumed
    const stallTimeoutMs = isResumable ? (route.pauseObjectiveMs ?? DEFAULT_PAUSE_OBJECTIVE_MS) * STALL_TIMEOUT_PAUSE_FACTOR : null
    this.#isStreaming = true
    const result = await this.#relay.forward(response, { stallTimeoutMs, canCut: () => this.#tryReserveMove(), onChunk: () => this.#dependencies.endpointMonitor.recordReceivedBytes(runningAttempt.record) })
    this.#isStreaming = false
    if (this.#finalResponse.isSettled || result.type === 'callerLeft') {
      runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
      this.#finishAttempt(runningAttempt)
      return DONE
    }
    if (result.type === 'complete') {
      this.#dependencies.endpointMonitor.recordObservation(runningAttempt.record, HEALTH_OBSERVATION.served, 'stream')
      this.#callerResponse.end()
      this.#finishAttempt(runningAttempt, true)
      const firstWriteAtMs = this.#relay.firstWriteAtMs ?? performance.now()
      this.#recorder.recordAnswered(runningAttempt, response.statusCode ?? 0, firstWriteAtMs - this.#plan.arrivedAtMs, this.#relay.longestPauseMs, this.#relay.bytes)
      return DONE
    }
    return this.#handleStreamInterrupted(runningAttempt, result)
  }

  /** Reserves a retry at another endpoint. False if there is none: an attempt is not ended for silence alone. */
  #tryReserveMove (): boolean {
    return this.#dependencies.chooser.hasUntriedEndpoint(this.#plan.pool, this.#triedEndpoints) && this.#permits.tryReserve()
  }

  #handleStreamInterrupted (runningAttempt: RunningAttempt, interruption: StreamInterruption): NextStep {
    const isMoved = this.#isMoved
    this.#isMoved = false
    const reason = describeInterruption(interruption)
    if (interruption.type === 'cut' && !isMoved) this.#dependencies.recordCrash(buildCrashedAttempt(this.#plan, runningAttempt), LOSS_REASON.cut)
    if (interruption.type === 'stalled') this.#dependencies.recordUnanswered(buildCrashedAttempt(this.#plan, runningAttempt))
    runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
    if (!isMoved) this.#dependencies.endpointMonitor.recordObservation(runningAttempt.record, HEALTH_OBSERVATION.failed, reason)
    this.#finishAttempt(runningAttempt, isMoved)
    const isRetried = isMoved || (this.#plan.route.repeatability === REPEATABILITY.resumed && this.#permits.tryTake(false))
    this.#recorder.recordAttemptEnded(runningAttempt, isMoved ? LOSS_REASON.moved : LOSS_REASON.cut, reason, isRetried)
    if (!isRetried) {
      this.#finalResponse.abortResponse(reason)
      return DONE
    }
    this.#dependencies.decisionLog.record({ type: 'resumed', requestId: this.#plan.call.requestId, endpoint: runningAttempt.record.entry.endpoint, lastEventId: this.#relay.lastEventId ?? '', afterMs: this.#recorder.getAgeMs() })
    return this.#recordRetry()
  }

  #applyResponseHead (record: EndpointRecord, head: ResponseHead): void {
    const model = this.#plan.call.prompt?.model
    if (head.weightsVersion !== null && model !== undefined && record.recordVersion(model, head.weightsVersion)) this.#dependencies.chooser.rebuild()
    if (head.load !== null) this.#dependencies.chooser.recordLoad(record, head.load)
  }

  /** Cancels the current attempt and refuses the request when its deadline has passed. */
  #handleDeadline (): void {
    if (this.#finalResponse.isSettled) return
    const runningAttempt = this.#runningAttempt
    runningAttempt?.attempt.cancel(LOSS_REASON.silent)
    if (runningAttempt !== null) {
      this.#dependencies.endpointMonitor.recordObservation(runningAttempt.record, HEALTH_OBSERVATION.failed, 'no answer before the deadline')
      this.#recordIfUnanswered(runningAttempt)
      this.#finishAttempt(runningAttempt)
    }
    if (runningAttempt?.attempt.isSent) this.#finalResponse.recordMayHaveRun()
    this.#finalResponse.handleDeadline()
  }

  /** Handles a disconnect of the caller. An order continues without its caller; repeatable requests and streams are cancelled at the endpoint too. */
  #handleConnectionClosed (): void {
    if (this.#finalResponse.isSettled || this.#callerResponse.writableFinished) return
    const runningAttempt = this.#runningAttempt
    if (!this.#isRepeatable && !this.#plan.route.isStream && runningAttempt !== null) return
    this.#finalResponse.handleCallerLeft(runningAttempt !== null)
    runningAttempt?.attempt.cancel(LOSS_REASON.cancelled)
    if (runningAttempt === null) return
    this.#recordIfUnanswered(runningAttempt)
    this.#finishAttempt(runningAttempt)
  }

  /** An endpoint that had begun its answer was not crashed by the start of the request. */
  #recordIfUnanswered (runningAttempt: RunningAttempt): void {
    const { isSent, hasResponse } = runningAttempt.attempt
    if (isSent && !hasResponse) this.#dependencies.recordUnanswered(buildCrashedAttempt(this.#plan, runningAttempt))
  }
}

function describeInterruption (interruption: StreamInterruption): string {
  return interruption.type === 'stalled' ? 'silent' : interruption.reason
}
