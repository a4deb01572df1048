import type http from 'node:http'
import { LOSS_REASON } from '../endpoints/attemptOutcome.ts'
import { HEALTH_OBSERVATION } from '../endpoints/endpointHealth.ts'
import { REPEATABILITY } from '../ports/gatewayConfig.ts'
import type { CallerResponse } from '../shared/callerResponse.ts'
import { computeStallTimeoutMs } from './computeStallTimeoutMs.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import type { ForwardResult } from './forwardResult.ts'
import { getPauseObjectiveMs } from './getPauseObjectiveMs.ts'
import { ENDPOINT_ENDED, hasEndpointEnded } from './hasEndpointEnded.ts'
import { DONE, RETRY } from './nextStep.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RunningAttempt } from './runningAttempt.ts'
import { StreamRelay } from './streamRelay.ts'
import type { RelayResult } from './streamRelay.ts'
import { canReplaceSuccessor, Successor } from './successor.ts'
import type { SuccessorParts } from './successor.ts'
import type { SuccessionCause, SuccessionResult } from './succession.ts'

/** Pause after which another endpoint is asked for the rest of a stream that another VM relays, as a multiple of the stall timeout: that VM asks another endpoint itself before. */
const RELAY_STALL_TIMEOUT_FACTOR = 2

/** Longest time for which events are held back while another endpoint is asked for the rest of the stream, as a share of the pause objective. */
const MAX_HOLD_PAUSE_SHARE = 0.75

/** Forwards the streams of endpoints to the caller of one request, and asks another endpoint for the rest of a resumable one that stalls or is to be moved. */
export class StreamForwarder {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan
  readonly #callerResponse: CallerResponse
  readonly #parts: SuccessorParts
  readonly #relay: StreamRelay
  /** Attempt whose stream is being forwarded; null if none is. */
  #streaming: RunningAttempt | null = null
  /** Asked to go on with that stream; null if none is. */
  #successor: Successor | null = null
  #holdTimer: NodeJS.Timeout | undefined
  /** Resolves when the first event may be forwarded; undefined before it arrives. */
  #recorded: Promise<void> | undefined

  constructor (dependencies: FlowDependencies, plan: RequestPlan, callerResponse: CallerResponse, parts: SuccessorParts) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#callerResponse = callerResponse
    this.#parts = parts
    this.#relay = new StreamRelay(callerResponse, this.#isResumable, plan.call.lastEventId, dependencies.eventMemory, dependencies.eventTurns, dependencies.forwardingTurns)
  }

  /** Id of the last complete event forwarded; null before the first, unless the caller sent one. */
  get lastEventId (): string | null {
    return this.#relay.lastEventId
  }

  /** Asks another endpoint for the rest of a resumable stream if it comes from one of these, so that the endpoint need not wait for its end. */
  moveStreamFrom (endpoints: ReadonlySet<string>): void {
    const runningAttempt = this.#streaming
    if (runningAttempt === null || !this.#isResumable || this.#successor !== null || runningAttempt.target.type !== 'endpoint' || !endpoints.has(runningAttempt.endpoint)) return
    this.#startSuccessor(runningAttempt, LOSS_REASON.moved)
  }

  /** Forwards a stream; the head of the response is prepared, or written before. */
  async forward (runningAttempt: RunningAttempt, response: http.IncomingMessage): Promise<ForwardResult> {
    const { attemptRunner, recorder, reporter, finalResponse } = this.#parts
    reporter.recordPromptComputed(runningAttempt)
    const stallTimeoutMs = computeStallTimeoutMs(this.#plan.route) * (runningAttempt.target.type === 'endpoint' ? 1 : RELAY_STALL_TIMEOUT_FACTOR)
    this.#streaming = runningAttempt
    const relayed = await this.#dependencies.forwardedResponses.track(this.#relay, () => this.#relay.forward(response, {
      stallTimeoutMs: this.#isResumable ? stallTimeoutMs : null,
      onStalled: () => this.#parts.runGuarded(() => this.#startSuccessor(runningAttempt, LOSS_REASON.silent)),
      onChunk: () => reporter.recordReceivedBytes(runningAttempt),
      onNewEvents: () => this.#handleNewEvents(),
      onHeldTooMuch: () => this.#parts.runGuarded(() => this.#endSuccessor(runningAttempt)),
      onFirstEvent: () => this.#bindVersion(runningAttempt)
    }))
    this.#streaming = null
    const result: RelayResult = relayed.type === 'complete' && await hasEndpointEnded(runningAttempt) ? { type: 'cut', reason: ENDPOINT_ENDED } : relayed
    if (result.type !== 'complete') recorder.recordUnfinished(runningAttempt, this.#relay.bytes)
    if (result.type === 'superseded' || result.type === 'cut' || result.type === 'garbled') return await this.#handleInterrupted(runningAttempt, result)
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

  get #isResumable (): boolean {
    return this.#plan.route.repeatability === REPEATABILITY.resumed
  }

  /** Asks another endpoint for the rest of the stream; one that was asked before and is silent too is given up. */
  #startSuccessor (runningAttempt: RunningAttempt, cause: SuccessionCause): void {
    if (this.#parts.finalResponse.isSettled || (this.#successor !== null && !canReplaceSuccessor(this.#parts))) return
    this.#endSuccessor(runningAttempt, true)
    const successor = new Successor(this.#dependencies, this.#plan, this.#parts, { cause, getLastEventId: () => this.#relay.lastEventId, onSend: () => { if (cause === LOSS_REASON.moved) this.#holdEvents(runningAttempt) } })
    this.#successor = successor
    successor.result.then(result => this.#parts.runGuarded(() => {
      if (this.#successor !== successor) return
      this.#parts.recorder.recordHandover(runningAttempt, successor, result, this.#relay.lastWriteAtMs)
      clearTimeout(this.#holdTimer)
      if (result.type === 'taken') return this.#relay.supersede()
      if (this.#streaming === runningAttempt) this.#clearSuccessor()
    }))
  }

  /** The other endpoint goes on after the last event forwarded, so what follows is held back until it is known which endpoint's events count. */
  #holdEvents (runningAttempt: RunningAttempt): void {
    this.#relay.hold()
    this.#holdTimer = setTimeout(() => this.#parts.runGuarded(() => this.#endSuccessor(runningAttempt)), getPauseObjectiveMs(this.#plan.route) * MAX_HOLD_PAUSE_SHARE)
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
  #bindVersion ({ softwareVersion }: RunningAttempt): Promise<void> | undefined {
    const { attemptRunner } = this.#parts
    if (attemptRunner.softwareVersion !== null || softwareVersion === null) return this.#recorded
    attemptRunner.softwareVersion = softwareVersion
    const { call, relayed } = this.#plan
    // What a relayed stream begins with is known once its first event has reached the VM that has the caller.
    if (call.lastEventId === null && relayed === null) this.#recorded = this.#recordBegan(softwareVersion)
    return this.#recorded
  }

  async #recordBegan (softwareVersion: string): Promise<void> {
    const { call: { requestId }, identity, pool } = this.#plan
    const { decisionLog, streamOrigins } = this.#dependencies
    const isStored = await streamOrigins.recordBegan({ organisation: identity?.organisation ?? '', pool, firstRequestId: requestId }, softwareVersion)
    if (!isStored) decisionLog.record({ type: 'streamUnstored', requestId, softwareVersion, afterMs: this.#parts.recorder.getAgeMs() })
  }

  /** Goes on with the successor if it takes over; otherwise the rest of a stream that was cut is asked of another endpoint. */
  async #handleInterrupted (runningAttempt: RunningAttempt, result: RelayResult): Promise<ForwardResult> {
    const { attemptRunner, permits, recorder, reporter, finalResponse } = this.#parts
    const successor = this.#successor
    clearTimeout(this.#holdTimer)
    const loss = result.type === 'garbled' ? LOSS_REASON.garbled : runningAttempt.attempt.bodyLoss
    const reason = result.type === 'cut' || result.type === 'garbled' ? result.reason : 'another endpoint goes on with the stream'
    if (result.type !== 'superseded' && !finalResponse.isSettled) {
      if (result.type === 'cut' && loss === LOSS_REASON.cut) reporter.recordCrash(runningAttempt, loss)
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
      recorder.recordAttemptEnded(runningAttempt, result.type === 'superseded' ? successor?.cause ?? LOSS_REASON.silent : loss, reason, true)
      this.#recordResumed(runningAttempt)
      return { type: 'handedOver', taken: succession }
    }
    this.#relay.release()
    const isRetried = this.#isResumable && permits.tryTake(false)
    recorder.recordAttemptEnded(runningAttempt, loss, reason, isRetried)
    if (!isRetried) {
      finalResponse.abortResponse(reason)
      return DONE
    }
    this.#recordResumed(runningAttempt)
    return RETRY
  }

  /** Waits for the successor of a stream that was cut. One that is silent is given up if another endpoint may be asked. */
  async #awaitSuccessor (successor: Successor): Promise<SuccessionResult> {
    const timer = setInterval(() => this.#parts.runGuarded(() => { if (canReplaceSuccessor(this.#parts)) successor.cancel(true) }), computeStallTimeoutMs(this.#plan.route))
    return await successor.result.finally(() => clearInterval(timer))
  }

  #recordResumed ({ endpoint }: RunningAttempt): void {
    this.#dependencies.decisionLog.record({ type: 'resumed', requestId: this.#plan.call.requestId, endpoint, lastEventId: this.#relay.lastEventId ?? '', afterMs: this.#parts.recorder.getAgeMs() })
  }
}
