import type http from 'node:http'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { CallerResponse } from '../shared/callerResponse.ts'
import type { ResponseStart } from '../shared/responseStart.ts'
import type { ForwardResult } from './forwardResult.ts'
import { buildResponseStart } from './buildResponseStart.ts'
import { isEventStream } from './isEventStream.ts'
import { ENDPOINT_ENDED, hasEndpointEnded } from './hasEndpointEnded.ts'
import type { NextStep } from './nextStep.ts'
import { DONE, RETRY } from './nextStep.ts'
import { readResponseBody } from './readResponseBody.ts'
import type { ResponseBody } from './readResponseBody.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { StreamForwarder } from './streamForwarder.ts'
import { StreamRelay } from './streamRelay.ts'
import type { RelayResult } from './streamRelay.ts'
import type { SuccessorParts } from './successor.ts'

/** Statuses that tell a caller that the request did not run and will not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

const MIN_REDIRECT_STATUS = 300
const MIN_SERVER_ERROR_STATUS = 500

/** Reason of a failure: the caller has left, or Node.js rejects a name or value of the head. */
const UNWRITABLE_HEAD = 'the head of the response cannot be written to the caller'

/** Forwards the responses of endpoints to the caller of one request. */
export class ResponseForwarder {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #callerResponse: CallerResponse
  readonly #parts: SuccessorParts
  readonly #streamForwarder: StreamForwarder

  constructor (dependencies: FlowDependencies, plan: RequestPlan, callerResponse: CallerResponse, parts: SuccessorParts) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#callerResponse = callerResponse
    this.#parts = parts
    this.#streamForwarder = new StreamForwarder(dependencies, plan, callerResponse, parts)
  }

  /** Id of the last complete event forwarded; null before the first, unless the caller sent one. */
  get lastEventId (): string | null {
    return this.#streamForwarder.lastEventId
  }

  /** Forwards a response whose head has arrived; `body` is what was read of it, null if nothing was. */
  async forward (runningAttempt: RunningAttempt, response: http.IncomingMessage, body: ResponseBody | null): Promise<ForwardResult> {
    const status = response.statusCode ?? 0
    const hasBegun = this.#callerResponse.phase === 'begun'
    if ((hasBegun || this.#callerResponse.isPrepared) && !isEventStream(response)) return this.#rejectResponse(runningAttempt, status)
    if (hasBegun) return await this.#streamForwarder.forward(runningAttempt, response)
    if (!this.#plan.route.isStream || status >= MIN_REDIRECT_STATUS) return await this.#forwardResponse(runningAttempt, response, status, body ?? await readResponseBody(response, this.#parts.responseMemory))
    // Until the first event leaves, which may wait, the caller can still get another response.
    if (!this.#callerResponse.tryPrepare(this.#buildStart(runningAttempt, response, null))) return { type: 'lost', reason: UNWRITABLE_HEAD }
    return await this.#streamForwarder.forward(runningAttempt, response)
  }

  /** Asks another endpoint for the rest of a resumable stream if it comes from one of these, so that the endpoint need not wait for its end. */
  moveStreamFrom (endpoints: ReadonlySet<string>): void {
    this.#streamForwarder.moveStreamFrom(endpoints)
  }

  get #isRepeatable (): boolean {
    return this.#plan.route.repeatability !== REPEATABILITY.never
  }

  async #forwardResponse (runningAttempt: RunningAttempt, response: http.IncomingMessage, status: number, body: ResponseBody): Promise<ForwardResult> {
    const { attemptRunner, permits, recorder, reporter, finalResponse } = this.#parts
    const hasEnded = body.type === 'buffered' && !finalResponse.isSettled && await this.#hasEndpointCrashed(runningAttempt)
    if (finalResponse.isSettled) {
      attemptRunner.finish(runningAttempt)
      return DONE
    }
    if (body.type === 'cut' || hasEnded) return { type: 'lost', reason: body.type === 'cut' ? body.reason : ENDPOINT_ENDED }
    const isFailure = status >= MIN_SERVER_ERROR_STATUS
    reporter.recordObservation(runningAttempt, isFailure ? HEALTH_OBSERVATION.failed : HEALTH_OBSERVATION.served, `status ${status}`)
    if (isFailure && this.#isRepeatable && permits.tryTake(false)) {
      if (body.type === 'buffered') finalResponse.keepFailure(() => this.#tryForwardBuffered(runningAttempt, response, status, body.bytes))
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
    if (!this.#tryForwardBuffered(runningAttempt, response, status, body.bytes)) finalResponse.fail('endpoint_lost', UNWRITABLE_HEAD)
    return DONE
  }

  /** One that leaves may end right behind a whole body. */
  async #hasEndpointCrashed (runningAttempt: RunningAttempt): Promise<boolean> {
    const { target } = runningAttempt
    return target.type === 'endpoint' && !target.record.isDraining && await hasEndpointEnded(runningAttempt)
  }

  /** Drops a response that is not the rest of the stream that has begun; the rest is asked of another endpoint, or the stream is broken off. */
  #rejectResponse (runningAttempt: RunningAttempt, status: number): NextStep {
    const { attemptRunner, permits, recorder, reporter, finalResponse } = this.#parts
    const reason = `status ${status} where the rest of a stream was expected`
    reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, reason)
    runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
    attemptRunner.finish(runningAttempt)
    if (finalResponse.isSettled) return DONE
    const isRetried = this.#isRepeatable && permits.tryTake(false)
    recorder.recordAttemptEnded(runningAttempt, 'failed', reason, isRetried)
    if (isRetried) return RETRY
    finalResponse.abortResponse(reason)
    return DONE
  }

  /** Writes the head of a response; `length` is the size of its body, null if it is not known yet. */
  #tryBegin (runningAttempt: RunningAttempt, response: http.IncomingMessage, length: number | null): boolean {
    return this.#callerResponse.tryBegin(this.#buildStart(runningAttempt, response, length))
  }

  #buildStart (runningAttempt: RunningAttempt, response: http.IncomingMessage, length: number | null): ResponseStart {
    return buildResponseStart(response, { method: this.#plan.call.method, length, answer: this.#buildRelayAnswer(runningAttempt) })
  }

  /** False if the head cannot be written. */
  #tryForwardBuffered (runningAttempt: RunningAttempt, response: http.IncomingMessage, status: number, bytes: Buffer): boolean {
    const firstByteMs = performance.now() - this.#plan.arrivedAtMs
    if (!this.#tryBegin(runningAttempt, response, bytes.length)) return false
    this.#callerResponse.end(bytes)
    this.#parts.recorder.recordAnswered(runningAttempt, status, firstByteMs, 0, bytes.length)
    return true
  }

  /** Forwards a response above the buffer limit chunk by chunk; the request cannot be retried any more. */
  async #forwardLargeResponse (runningAttempt: RunningAttempt, response: http.IncomingMessage, firstChunks: Buffer[]): Promise<NextStep> {
    const { attemptRunner, recorder, reporter, finalResponse } = this.#parts
    const firstByteMs = performance.now() - this.#plan.arrivedAtMs
    if (!this.#tryBegin(runningAttempt, response, null)) {
      runningAttempt.attempt.cancel(LOSS_REASON.cancelled)
      attemptRunner.finish(runningAttempt)
      finalResponse.fail('endpoint_lost', UNWRITABLE_HEAD)
      return DONE
    }
    finalResponse.dropFailure()
    const firstBytes = firstChunks.reduce((sum, chunk) => sum + chunk.length, 0)
    await this.#forwardFirstChunks(firstChunks)
    const relay = new StreamRelay(this.#callerResponse, false, null, this.#dependencies.eventMemory, this.#dependencies.eventTurns, this.#dependencies.forwardingTurns)
    const relayed = await this.#dependencies.forwardedResponses.track(relay, () => relay.forward(response, { stallTimeoutMs: null, onStalled: () => {}, onChunk: () => {}, onNewEvents: () => {}, onHeldTooMuch: () => {}, onFirstEvent: () => {} }))
    const result: RelayResult = relayed.type === 'complete' && await this.#hasEndpointCrashed(runningAttempt) ? { type: 'cut', reason: ENDPOINT_ENDED } : relayed
    if (result.type !== 'complete') recorder.recordUnfinished(runningAttempt, firstBytes + relay.bytes)
    attemptRunner.finish(runningAttempt)
    if (result.type === 'callerLeft') {
      if (!finalResponse.isSettled) finalResponse.handleCallerLeft(true)
      return DONE
    }
    if (result.type !== 'complete') {
      const reason = result.type === 'superseded' ? result.type : result.reason
      reporter.recordObservation(runningAttempt, HEALTH_OBSERVATION.failed, reason)
      const { bodyLoss } = runningAttempt.attempt
      if (bodyLoss === LOSS_REASON.cut) reporter.recordCrash(runningAttempt, bodyLoss)
      recorder.recordAttemptEnded(runningAttempt, bodyLoss, reason, false)
      finalResponse.abortResponse(reason)
      return DONE
    }
    this.#callerResponse.end()
    recorder.recordAnswered(runningAttempt, response.statusCode ?? 0, firstByteMs, relay.longestPauseMs, firstBytes + relay.bytes)
    return DONE
  }

  /** Writes what was buffered of a response, and waits until the caller's connection has taken it. The chunks are dropped. */
  async #forwardFirstChunks (firstChunks: Buffer[]): Promise<void> {
    let readsOn = true
    for (const chunk of firstChunks.splice(0)) readsOn = this.#callerResponse.write(chunk)
    if (!readsOn) await this.#callerResponse.waitDrain(new AbortController().signal)
    this.#parts.responseMemory.release()
  }

  /** Builds what the VM that relayed the request is told with the response; null for a caller. */
  #buildRelayAnswer ({ target, endpoint, softwareVersion }: RunningAttempt): RelayAnswer | null {
    if (this.#plan.relayed === null || target.type !== 'endpoint') return null
    return { type: 'forwarded', endpoint, incarnation: target.record.entry.incarnation, softwareVersion: softwareVersion ?? '', endpointCount: this.#parts.permits.ownExecutionCount }
  }
}
