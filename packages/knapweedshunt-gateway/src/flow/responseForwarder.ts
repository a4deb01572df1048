import type http from 'node:http'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { NextStep } from './nextStep.ts'
import { DONE, RETRY } from './nextStep.ts'
import { readResponseBody } from './readResponseBody.ts'
import type { ResponseBody } from './readResponseBody.ts'
import type { RequestPlan } from './requestPlan.ts'
import { ResponseHeadWriter } from './responseHeadWriter.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { StreamRelay } from './streamRelay.ts'
import type { RelayResult } from './streamRelay.ts'
import { canReplaceSuccessor, Successor } from './successor.ts'
import type { SuccessionCause, SuccessionResult, SuccessorParts, TakenSuccession } from './successor.ts'

/** Statuses that tell a caller that the request did not run and will not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

const MIN_SERVER_ERROR_STATUS = 500

/** Pause after which another endpoint is asked for the rest of a resumable stream, as a multiple of the pause objective. */
const STALL_TIMEOUT_PAUSE_FACTOR = 2

/** The same for a stream that another VM relays, which asks another endpoint itself before. */
const RELAY_TIMEOUT_PAUSE_FACTOR = 4

/** Longest time for which events are held back while another endpoint is asked for the rest of the stream, as a share of the pause objective. */
const MAX_HOLD_PAUSE_SHARE = 0.75

/** Pause objective of a stream whose route sets none, in milliseconds. */
const DEFAULT_PAUSE_OBJECTIVE_MS = 500

/** Result of forwarding: a next step, a response that was lost before any of it was forwarded, or a successor that goes on with the stream. */
export type ForwardResult = NextStep | { type: 'lost', reason: string } | { type: 'handedOver', taken: TakenSuccession }

/** Forwards the responses of endpoints to the caller of one request. */
export class ResponseForwarder {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #callerResponse: http.ServerResponse
  readonly #parts: SuccessorParts
  readonly #responseHeadWriter: ResponseHeadWriter
  readonly #relay: StreamRelay
  /** Attempt whose stream is being forwarded; null if none is. */
  #streaming: RunningAttempt | null = null
  /** Asked to go on with that stream; null if none is. */
  #successor: Successor | null = null
  #holdTimer: NodeJS.Timeout | undefined

  constructor (dependencies: FlowDependencies, plan: RequestPlan, callerResponse: http.ServerResponse, parts: SuccessorParts) {
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

  /** Forwards a response whose head has arrived; `body` is what was read of it, null if nothing was. */
  async forward (runningAttempt: RunningAttempt, response: http.IncomingMessage, body: ResponseBody | null): Promise<ForwardResult> {
    const status = response.statusCode ?? 0
    const isStream = this.#plan.route.isStream && status < 300
    return isStream ? await this.#forwardStream(runningAttempt, response) : await this.#forwardResponse(runningAttempt, response, status, body ?? await readResponseBody(response))
  }

  /** Asks another endpoint for the rest of a resumable stream if it comes from one of these, so that the endpoint need not wait for its end. */
  moveStreamFrom (endpoints: ReadonlySet<string>): void {
    const runningAttempt = this.#streaming
    if (runningAttempt === null || !this.#isResumable || this.#successor !== null || runningAttempt.target.type !== 'endpoint' || !endpoints.has(runningAttempt.endpoint)) return
    this.#startSuccessor(runningAttempt, LOSS_REASON.moved)
  }

  get #isRepeatable (): boolean {
    return this.#plan.route.repeatability !== REPEATABILITY.never
  }

  get #isResumable (): boolean {
    return this.#plan.route.repeatability === REPEATABILITY.resumed
  }

  async #forwardResponse (runningAttempt: RunningAttempt, response: http.IncomingMessage, status: number, body: ResponseBody): Promise<ForwardResult> {
    const { attemptRunner, permits, recorder, reporter, finalResponse } = this.#parts
    if (finalResponse.isSettled) {
      attemptRunner.finish(runningAttempt)
      return DONE
    }
    if (body.type === 'cut') return { type: 'lost', reason: body.reason }
    const isFailure = status >= MIN_SERVER_ERROR_STATUS
    reporter.recordObservation(runningAttempt, isFailure ? HEALTH_OBSERVATION.failed : HEALTH_OBSERVATION.served, `status ${status}`)
    if (isFailure && this.#isRepeatable && permits.tryTake(false)) {
      if (body.type === 'buffered') finalResponse.keepFailure(() => this.#forwardBuffered(runningAttempt, response, status, body.bytes))
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
    if (body.type === 'large') return await this.#forwardLargeResponse(runningAttempt, response, body.firstChunks)
    attemptRunner.finish(runningAttempt)
    this.#forwardBuffered(runningAttempt, response, status, body.bytes)
    return DONE
  }

  #forwardBuffered (runningAttempt: RunningAttempt, response: http.IncomingMessage, status: number, bytes: Buffer): void {
    const firstByteMs = performance.now() - this.#plan.arrivedAtMs
    this.#responseHeadWriter.writeHead(response, status, bytes.length, this.#buildRelayAnswer(runningAttempt))
    this.#callerResponse.end(bytes)
    this.#parts.recorder.recordAnswered(runningAttempt, status, firstByteMs, 0, bytes.length)
  }

  /** Forwards a response above the buffer limit chunk by chunk; the request cannot be retried any more. */
  async #forwardLargeResponse (runningAttempt: RunningAttempt, response: http.IncomingMessage, firstChunks: Buffer[]): Promise<NextStep> {
    const { attemptRunner, recorder, reporter, finalResponse } = this.#parts
    const firstByteMs = performance.now() - this.#plan.arrivedAtMs
    this.#responseHeadWriter.writeHead(response, response.statusCode ?? 0, null, this.#buildRelayAnswer(runningAttempt))
    for (const chunk of firstChunks) this.#callerResponse.write(chunk)
    const result = await this.#relay.forward(response, { stallTimeoutMs: null, onStalled: () => {}, onChunk: () => {}, onNewEvents: () => {}, onFirstEvent: () => {} })
    attemptRunner.finish(runningAttempt)
    if (result.type === 'callerLeft') {
      if (!finalResponse.isSettled) finalResponse.handleCallerLeft(true)
      return DONE
    }
    if (result.type !== 'complete') {
      const reason = result.type === 'cut' ? result.reason : result.type
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

  async #forwardStream (runningAttempt: RunningAttempt, response: http.IncomingMessage): Promise<ForwardResult> {
    const { attemptRunner, recorder, reporter, finalResponse } = this.#parts
    reporter.recordPromptComputed(runningAttempt)
    if (!this.#callerResponse.headersSent) this.#responseHeadWriter.writeHead(response, response.statusCode ?? 0, null, this.#buildRelayAnswer(runningAttempt))
    const stallFactor = runningAttempt.target.type === 'endpoint' ? STALL_TIMEOUT_PAUSE_FACTOR : RELAY_TIMEOUT_PAUSE_FACTOR
    this.#streaming = runningAttempt
    const result = await this.#relay.forward(response, {
      stallTimeoutMs: this.#isResumable ? this.#pauseObjectiveMs * stallFactor : null,
      onStalled: () => this.#startSuccessor(runningAttempt, LOSS_REASON.silent),
      onChunk: () => reporter.recordReceivedBytes(runningAttempt),
      onNewEvents: () => this.#handleNewEvents(),
      onFirstEvent: () => this.#bindVersion(runningAttempt)
    })
    this.#streaming = null
    if (result.type === 'superseded' || result.type === 'cut') return await this.#handleInterrupted(runningAttempt, result)
    this.#endSuccessor(runningAttempt)
    if (finalResponse.isSettled || result.type === 'callerLeft') {
      runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
      attemptRunner.finish(runningAttempt)
      return DONE
    }
    reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.served, 'stream')
    this.#callerResponse.end()
    attemptRunner.finish(runningAttempt, true)
    const firstWriteAtMs = this.#relay.firstWriteAtMs ?? performance.now()
    recorder.recordAnswered(runningAttempt, response.statusCode ?? 0, firstWriteAtMs - this.#plan.arrivedAtMs, this.#relay.longestPauseMs, this.#relay.bytes)
    return DONE
  }

  get #pauseObjectiveMs (): number {
    return this.#plan.route.pauseObjectiveMs ?? DEFAULT_PAUSE_OBJECTIVE_MS
  }

  /** Asks another endpoint for the rest of the stream; one that was asked before and is silent too is given up. */
  #startSuccessor (runningAttempt: RunningAttempt, cause: SuccessionCause): void {
    if (this.#parts.finalResponse.isSettled || (this.#successor !== null && !canReplaceSuccessor(this.#parts))) return
    this.#endSuccessor(runningAttempt, true)
    const successor = new Successor(this.#dependencies, this.#plan, this.#parts, { cause, getLastEventId: () => this.#relay.lastEventId, onSend: () => { if (cause === LOSS_REASON.moved) this.#holdEvents(runningAttempt) } })
    this.#successor = successor
    successor.result.then(result => {
      if (this.#successor !== successor) return
      this.#parts.recorder.recordHandover(runningAttempt, successor, result, this.#relay.lastWriteAtMs)
      clearTimeout(this.#holdTimer)
      if (result.type === 'taken') return this.#relay.supersede()
      if (this.#streaming === runningAttempt) this.#clearSuccessor()
    })
  }

  /** The other endpoint goes on after the last event forwarded, so what follows is held back until it is known which endpoint's events count. */
  #holdEvents (runningAttempt: RunningAttempt): void {
    this.#relay.hold()
    this.#holdTimer = setTimeout(() => this.#endSuccessor(runningAttempt), this.#pauseObjectiveMs * MAX_HOLD_PAUSE_SHARE)
  }

  /** A stream that goes on by itself needs no other endpoint for its pause. */
  #handleNewEvents (): void {
    if (this.#streaming !== null && this.#successor?.cause === LOSS_REASON.silent) this.#endSuccessor(this.#streaming)
  }

  /** Gives up the successor, if any; `isSilent` if nothing came from it. */
  #endSuccessor (runningAttempt: RunningAttempt, isSilent = false): void {
    const successor = this.#successor
    if (successor === null) return
    this.#clearSuccessor()
    successor.cancel(isSilent)
    this.#parts.recorder.recordHandover(runningAttempt, successor, null, this.#relay.lastWriteAtMs)
  }

  #clearSuccessor (): void {
    clearTimeout(this.#holdTimer)
    this.#successor = null
    this.#relay.release()
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

  /** Goes on with the successor if it takes over; otherwise the rest of a stream that was cut is asked of another endpoint. */
  async #handleInterrupted (runningAttempt: RunningAttempt, result: RelayResult): Promise<ForwardResult> {
    const { attemptRunner, permits, recorder, reporter, finalResponse } = this.#parts
    const successor = this.#successor
    clearTimeout(this.#holdTimer)
    const reason = result.type === 'cut' ? result.reason : 'another endpoint goes on with the stream'
    if (result.type === 'cut' && !finalResponse.isSettled) {
      reporter.recordCrash(runningAttempt, LOSS_REASON.cut)
      reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, reason)
    }
    if (result.type === 'superseded' && successor?.cause === LOSS_REASON.silent) {
      reporter.recordUnanswered(runningAttempt)
      reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, 'silent')
    }
    runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
    attemptRunner.finish(runningAttempt, result.type === 'superseded' && successor?.cause === LOSS_REASON.moved)
    const succession = finalResponse.isSettled || successor === null ? null : await this.#awaitSuccessor(successor)
    this.#successor = null
    if (finalResponse.isSettled) return DONE
    if (succession?.type === 'taken') {
      this.#relay.supersede()
      recorder.recordAttemptEnded(runningAttempt, result.type === 'cut' ? LOSS_REASON.cut : successor?.cause ?? LOSS_REASON.silent, reason, true)
      this.#recordResumed(runningAttempt)
      return { type: 'handedOver', taken: succession }
    }
    this.#relay.release()
    const isRetried = this.#isResumable && permits.tryTake(false)
    recorder.recordAttemptEnded(runningAttempt, LOSS_REASON.cut, reason, isRetried)
    if (!isRetried) {
      finalResponse.abortResponse(reason)
      return DONE
    }
    this.#recordResumed(runningAttempt)
    return RETRY
  }

  /** Waits for the successor of a stream that was cut. One that is silent is given up if another endpoint may be asked. */
  async #awaitSuccessor (successor: Successor): Promise<SuccessionResult> {
    const timer = setInterval(() => { if (canReplaceSuccessor(this.#parts)) successor.cancel(true) }, this.#pauseObjectiveMs * STALL_TIMEOUT_PAUSE_FACTOR)
    return await successor.result.finally(() => clearInterval(timer))
  }

  #recordResumed ({ endpoint }: RunningAttempt): void {
    this.#dependencies.decisionLog.record({ type: 'resumed', requestId: this.#plan.call.requestId, endpoint, lastEventId: this.#relay.lastEventId ?? '', afterMs: this.#parts.recorder.getAgeMs() })
  }
}
