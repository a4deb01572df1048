import type http from 'node:http'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { AttemptRunner } from './attemptRunner.ts'
import type { AttemptReporter } from './attemptReporter.ts'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import type { FinalResponse } from './finalResponse.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { NextStep } from './nextStep.ts'
import { DONE, RETRY } from './nextStep.ts'
import { readResponseBody } from './readResponseBody.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RequestRecorder } from './requestRecorder.ts'
import { ResponseHeadWriter } from './responseHeadWriter.ts'
import type { RetryPermits } from './retryPermits.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { StreamRelay } from './streamRelay.ts'
import type { StreamInterruption } from './streamRelay.ts'

/** Statuses that tell a caller that the request did not run and will not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

const MIN_SERVER_ERROR_STATUS = 500

/** Pause after which a resumable stream is moved to another endpoint, as a multiple of the pause objective. */
const STALL_TIMEOUT_PAUSE_FACTOR = 2

/** The same for a stream that another VM relays, which moves it itself before. */
const RELAY_TIMEOUT_PAUSE_FACTOR = 4

/** Pause objective of a stream whose route sets none, in milliseconds. */
const DEFAULT_PAUSE_OBJECTIVE_MS = 500

/** Result of forwarding: a next step, or a response that was lost before any of it was forwarded. */
export type ForwardResult = NextStep | { type: 'lost', reason: string }

/** The other parts of one request's task. */
export interface ResponseForwarderParts {
  attemptRunner: AttemptRunner
  permits: RetryPermits
  recorder: RequestRecorder
  reporter: AttemptReporter
  finalResponse: FinalResponse
}

/** Forwards the responses of endpoints to the caller of one request. */
export class ResponseForwarder {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #callerResponse: http.ServerResponse
  readonly #parts: ResponseForwarderParts
  readonly #responseHeadWriter: ResponseHeadWriter
  readonly #relay: StreamRelay
  /** Whether a stream of the current attempt is being forwarded. */
  #isStreaming = false
  #isMoved = false

  constructor (dependencies: FlowDependencies, plan: RequestPlan, callerResponse: http.ServerResponse, parts: ResponseForwarderParts) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#callerResponse = callerResponse
    this.#parts = parts
    this.#responseHeadWriter = new ResponseHeadWriter(callerResponse, plan.call.method)
    this.#relay = new StreamRelay(callerResponse, this.#isResumable, plan.call.lastEventId)
  }

  /** Id of the last complete event forwarded; null before the first, unless the caller sent one. */
  get lastEventId (): string | null {
    return this.#relay.lastEventId
  }

  /** Forwards a response whose head has arrived. */
  async forward (runningAttempt: RunningAttempt, response: http.IncomingMessage): Promise<ForwardResult> {
    const status = response.statusCode ?? 0
    const isStream = this.#plan.route.isStream && status < 300
    return isStream ? await this.#forwardStream(runningAttempt, response) : await this.#forwardResponse(runningAttempt, response, status)
  }

  /** Moves a resumable stream away from one of these endpoints, so that the endpoint need not wait for its end. */
  moveStreamFrom (endpoints: ReadonlySet<string>): void {
    const { attemptRunner, permits } = this.#parts
    const runningAttempt = attemptRunner.current
    if (runningAttempt === null || !this.#isStreaming || !this.#isResumable || runningAttempt.target.type !== 'endpoint' || !endpoints.has(runningAttempt.endpoint)) return
    if (!attemptRunner.canMove || !permits.tryTake(true)) return
    this.#isMoved = true
    runningAttempt.attempt.cancel(LOSS_REASON.moved)
  }

  get #isRepeatable (): boolean {
    return this.#plan.route.repeatability !== REPEATABILITY.never
  }

  get #isResumable (): boolean {
    return this.#plan.route.repeatability === REPEATABILITY.resumed
  }

  async #forwardResponse (runningAttempt: RunningAttempt, response: http.IncomingMessage, status: number): Promise<ForwardResult> {
    const { attemptRunner, permits, recorder, reporter, finalResponse } = this.#parts
    const body = await readResponseBody(response)
    if (finalResponse.isSettled) {
      attemptRunner.finish(runningAttempt)
      return DONE
    }
    if (body.type === 'cut') return { type: 'lost', reason: body.reason }
    const isFailure = status >= MIN_SERVER_ERROR_STATUS
    reporter.recordObservation(runningAttempt, isFailure ? HEALTH_OBSERVATION.failed : HEALTH_OBSERVATION.served, `status ${status}`)
    if (isFailure && this.#isRepeatable && permits.tryTake(false)) {
      response.destroy()
      attemptRunner.finish(runningAttempt)
      recorder.recordAttemptEnded(runningAttempt, 'failed', `status ${status}`, true)
      return RETRY
    }
    if (NOT_RUN_STATUSES.includes(status) && !this.#isRepeatable) {
      // The endpoint did not report that the request did not run, so a status that implies it must not be forwarded.
      response.destroy()
      attemptRunner.finish(runningAttempt)
      finalResponse.refuse('endpoint_refused', 502, `status ${status} without a report that the request did not run`)
      return DONE
    }
    const firstByteMs = performance.now() - this.#plan.arrivedAtMs
    this.#responseHeadWriter.writeHead(response, status, body.type === 'buffered' ? body.bytes.length : null, this.#buildRelayAnswer(runningAttempt))
    if (body.type === 'large') return await this.#forwardLargeResponse(runningAttempt, response, body.firstChunks, firstByteMs)
    this.#callerResponse.end(body.bytes)
    attemptRunner.finish(runningAttempt)
    recorder.recordAnswered(runningAttempt, status, firstByteMs, 0, body.bytes.length)
    return DONE
  }

  /** Forwards a response above the buffer limit chunk by chunk; the request cannot be retried any more. */
  async #forwardLargeResponse (runningAttempt: RunningAttempt, response: http.IncomingMessage, firstChunks: Buffer[], firstByteMs: number): Promise<NextStep> {
    const { attemptRunner, recorder, reporter, finalResponse } = this.#parts
    for (const chunk of firstChunks) this.#callerResponse.write(chunk)
    const result = await this.#relay.forward(response, { stallTimeoutMs: null, canCut: () => false, onFirstEvent: () => {}, onChunk: () => {} })
    attemptRunner.finish(runningAttempt)
    if (result.type === 'callerLeft') {
      if (!finalResponse.isSettled) finalResponse.handleCallerLeft(true)
      return DONE
    }
    if (result.type !== 'complete') {
      const reason = describeInterruption(result)
      reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, reason)
      reporter.recordCrash(runningAttempt, LOSS_REASON.cut)
      recorder.recordAttemptEnded(runningAttempt, LOSS_REASON.cut, reason, false)
      finalResponse.abortResponse(reason)
      return DONE
    }
    this.#callerResponse.end()
    recorder.recordAnswered(runningAttempt, response.statusCode ?? 0, firstByteMs, this.#relay.longestPauseMs, firstChunks.reduce((sum, chunk) => sum + chunk.length, this.#relay.bytes))
    return DONE
  }

  async #forwardStream (runningAttempt: RunningAttempt, response: http.IncomingMessage): Promise<NextStep> {
    const { attemptRunner, recorder, reporter, finalResponse } = this.#parts
    const { route } = this.#plan
    reporter.recordPromptComputed(runningAttempt)
    if (!this.#callerResponse.headersSent) this.#responseHeadWriter.writeHead(response, response.statusCode ?? 0, null, this.#buildRelayAnswer(runningAttempt))
    const stallTimeoutMs = this.#isResumable ? (route.pauseObjectiveMs ?? DEFAULT_PAUSE_OBJECTIVE_MS) * (runningAttempt.target.type === 'endpoint' ? STALL_TIMEOUT_PAUSE_FACTOR : RELAY_TIMEOUT_PAUSE_FACTOR) : null
    this.#isStreaming = true
    const result = await this.#relay.forward(response, { stallTimeoutMs, canCut: () => attemptRunner.tryReserveMove(), onChunk: () => reporter.recordReceivedBytes(runningAttempt), onFirstEvent: () => this.#bindVersion(runningAttempt) })
    this.#isStreaming = false
    if (finalResponse.isSettled || result.type === 'callerLeft') {
      runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
      attemptRunner.finish(runningAttempt)
      return DONE
    }
    if (result.type === 'complete') {
      reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.served, 'stream')
      this.#callerResponse.end()
      attemptRunner.finish(runningAttempt, true)
      const firstWriteAtMs = this.#relay.firstWriteAtMs ?? performance.now()
      recorder.recordAnswered(runningAttempt, response.statusCode ?? 0, firstWriteAtMs - this.#plan.arrivedAtMs, this.#relay.longestPauseMs, this.#relay.bytes)
      return DONE
    }
    return this.#handleStreamInterrupted(runningAttempt, result)
  }

  /** From the first event on, the stream goes on at this software version only, also over the caller's tries. */
  #bindVersion ({ softwareVersion }: RunningAttempt): void {
    const { attemptRunner } = this.#parts
    if (attemptRunner.softwareVersion !== null || softwareVersion === null) return
    attemptRunner.softwareVersion = softwareVersion
    const { call, identity, pool, relayed } = this.#plan
    // What a relayed stream begins with is known once its first event has reached the VM that has the caller.
    if (call.lastEventId === null && relayed === null) this.#dependencies.streamOrigins.recordBegan({ organisation: identity?.organisation ?? '', pool, firstRequestId: call.requestId }, softwareVersion)
  }

  /** Builds what the VM that relayed the request is told with the response; null for a caller. */
  #buildRelayAnswer ({ target, endpoint, softwareVersion }: RunningAttempt): RelayAnswer | null {
    if (this.#plan.relayed === null || target.type !== 'endpoint') return null
    return { type: 'forwarded', endpoint, incarnation: target.record.entry.incarnation, softwareVersion: softwareVersion ?? '', endpointCount: this.#parts.permits.ownExecutionCount }
  }

  #handleStreamInterrupted (runningAttempt: RunningAttempt, interruption: StreamInterruption): NextStep {
    const { attemptRunner, permits, recorder, reporter, finalResponse } = this.#parts
    const isMoved = this.#isMoved
    this.#isMoved = false
    const reason = describeInterruption(interruption)
    if (interruption.type === 'cut' && !isMoved) reporter.recordCrash(runningAttempt, LOSS_REASON.cut)
    if (interruption.type === 'stalled') reporter.recordUnanswered(runningAttempt)
    runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
    if (!isMoved) reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, reason)
    attemptRunner.finish(runningAttempt, isMoved)
    const isRetried = isMoved || (this.#isResumable && permits.tryTake(false))
    recorder.recordAttemptEnded(runningAttempt, isMoved ? LOSS_REASON.moved : LOSS_REASON.cut, reason, isRetried)
    if (!isRetried) {
      finalResponse.abortResponse(reason)
      return DONE
    }
    this.#dependencies.decisionLog.record({ type: 'resumed', requestId: this.#plan.call.requestId, endpoint: runningAttempt.endpoint, lastEventId: this.#relay.lastEventId ?? '', afterMs: recorder.getAgeMs() })
    return RETRY
  }
}

function describeInterruption (interruption: StreamInterruption): string {
  return interruption.type === 'stalled' ? 'silent' : interruption.reason
}
