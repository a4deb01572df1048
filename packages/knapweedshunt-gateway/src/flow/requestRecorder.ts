import type { PlacedDecision } from 'knapweedshunt-placement'
import type { RunningAttempt } from './runningAttempt.ts'
import type { AttemptReporter } from './attemptReporter.ts'
import type { PeerView } from '../peers/peerAddress.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { RefusalReason, RequestState } from '../records/decision.ts'
import type { FlowDependencies } from './flowDependencies.ts'
import { formatFingerprint, formatParts } from './formatSuspects.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { AskedSuccession, SuccessionResult } from './succession.ts'

const MIN_SERVER_ERROR_STATUS = 500

/** Number of characters of a prefix level's key in a log line. */
const LOGGED_KEY_CHARS = 6

/** Details of a refusal: the router's own response to a request, or a closed connection. */
export interface Refusal {
  reason: RefusalReason
  /** 0 if the connection was closed without a complete response. */
  status: number
  mayHaveRun: boolean
  attempts: number
  retryAfterMs: number
  detail: string
}

/** Records the decisions about one request in the log and the metrics, and its success for the retry budget and the suspect registry. */
export class RequestRecorder {
  readonly #dependencies: FlowDependencies
  readonly #plan: RequestPlan

  readonly #reporter: AttemptReporter
  /** Last attempt of which it is recorded that no other endpoint could be asked. */
  #unaskedAttempt = 0
  /** Monotonic time at which the caller left, in milliseconds; null while it is there. */
  #callerLeftAtMs: number | null = null
  /** Monotonic time at which the request was first sent; null before. */
  #firstSentAtMs: number | null = null
  #isAnswered = false

  constructor (dependencies: FlowDependencies, plan: RequestPlan, reporter: AttemptReporter) {
    this.#dependencies = dependencies
    this.#plan = plan
    this.#reporter = reporter
  }

  /** Time since the arrival of the request, in milliseconds. */
  getAgeMs (): number {
    return Math.round(performance.now() - this.#plan.arrivedAtMs)
  }

  /** Time since the request was first sent, in milliseconds; null if it was not. */
  getSentForMs (): number | null {
    return this.#firstSentAtMs === null ? null : Math.round(performance.now() - this.#firstSentAtMs)
  }

  /** Records the end of the request. */
  recordEnd (): void {
    if (this.#firstSentAtMs !== null) this.#dependencies.runTimes.recordEnd(this.#plan.route.name, this.#firstSentAtMs, this.#isAnswered)
  }

  #recordFirstSent (): void {
    if (this.#firstSentAtMs !== null) return
    this.#firstSentAtMs = performance.now()
    this.#dependencies.runTimes.recordStart(this.#plan.route.name, this.#firstSentAtMs)
  }

  /** Records the endpoint that was chosen for an attempt; the number of the first attempt is 1. */
  recordSent (attempt: number, record: EndpointRecord, lastEventId: string | null, { rank, expectedCachedTokens = 0, expectedWaitMs = 0 }: PlacedDecision): void {
    this.#recordFirstSent()
    const { call, configRevision, deadlineAtMs, pool } = this.#plan
    const { endpointLimits } = this.#dependencies
    const limitPerS = endpointLimits.findLimit(record)
    const promptTokens = call.prompt?.tokens ?? 0
    const weightsVersion = call.prompt === null ? null : record.findVersion(call.prompt.model)
    const replacement = call.prompt === null || weightsVersion === null ? null : this.#dependencies.findReplacement(call.prompt.model, weightsVersion)
    if (promptTokens > 0) this.#dependencies.metrics.recordPrompt(promptTokens, expectedCachedTokens)
    this.#dependencies.decisionLog.record({
      type: 'sent',
      requestId: call.requestId,
      attempt,
      pool,
      endpoint: record.entry.endpoint,
      incarnation: record.entry.incarnation,
      softwareVersion: record.entry.softwareVersion,
      firstRequestId: call.firstRequestId ?? '',
      lastEventId: lastEventId ?? '',
      rank,
      prefix: this.#plan.levels.map(level => level.key.slice(0, LOGGED_KEY_CHARS)).join('>'),
      parts: formatParts(this.#plan.sharedParts),
      fingerprint: formatFingerprint(this.#plan.fingerprint),
      expectedCachedTokens,
      promptTokens,
      expectedWaitMs,
      slowdown: roundSlowdown(record.speed.estimateSlowdown(performance.now())),
      learnedSlowdown: roundSlowdown(record.speed.learnedSlowdown),
      prefillTokensPerS: Math.round(record.speed.prefillTokensPerS),
      side: promptTokens === 0 ? '' : this.#dependencies.chooser.promptSizePartition.findSide(record, promptTokens),
      open: record.inFlightCount,
      loadAgeMs: Math.round(Math.min(performance.now() - record.loadAtMs, Number.MAX_SAFE_INTEGER)),
      configRevision,
      keysAgeMs: Math.round(Math.min(this.#dependencies.getKeysAgeMs(), Number.MAX_SAFE_INTEGER)),
      timeLeftMs: Math.round(deadlineAtMs - performance.now()),
      limitPerS,
      ownLimitPerS: limitPerS === null ? null : endpointLimits.getOwnRatePerS(record),
      weightsVersion,
      weightsReplacedMs: replacement === null ? null : Math.round(replacement.replacedMs),
      weightsLeftMs: replacement === null ? null : Math.round(replacement.leftMs),
      callerLeftMs: this.#getCallerLeftMs()
    })
  }

  /** Records the VM to which a request was sent, as this one reaches few endpoints of the pool. */
  recordRelayed (attempt: number, peer: PeerView, lastEventId: string | null): void {
    this.#recordFirstSent()
    const { call, pool, deadlineAtMs } = this.#plan
    this.#dependencies.metrics.recordRelay('sent')
    this.#dependencies.decisionLog.record({ type: 'relayed', requestId: call.requestId, attempt, pool, vm: peer.vm, lastEventId: lastEventId ?? '', timeLeftMs: Math.round(deadlineAtMs - performance.now()), callerLeftMs: this.#getCallerLeftMs() })
  }

  /** Records that the request comes from another VM. */
  recordReceivedRelay (): void {
    const { call, relayed, deadlineAtMs } = this.#plan
    if (relayed === null) return
    this.#dependencies.metrics.recordRelay('received')
    this.#dependencies.decisionLog.record({ type: 'relayReceived', requestId: call.requestId, from: relayed.from, tried: relayed.triedEndpoints.join(), endpointsLeft: relayed.endpointsLeft, softwareVersion: relayed.softwareVersion, timeLeftMs: Math.round(deadlineAtMs - performance.now()) })
  }

  /** Records that the caller has left; `isKept` if the attempt under way goes on. */
  recordCallerLeft (runningAttempt: RunningAttempt | null, isKept: boolean): void {
    const { call, route, deadlineAtMs } = this.#plan
    const nowMs = performance.now()
    this.#callerLeftAtMs ??= nowMs
    this.#dependencies.decisionLog.record({
      type: 'callerLeft',
      requestId: call.requestId,
      route: route.name,
      state: classifyState(runningAttempt),
      attempt: runningAttempt?.attemptNumber ?? 0,
      endpoint: runningAttempt?.endpoint ?? '',
      relayVm: runningAttempt === null ? '' : getRelayVm(runningAttempt),
      isKept,
      afterMs: this.getAgeMs(),
      timeLeftMs: Math.round(deadlineAtMs - nowMs)
    })
  }

  #getCallerLeftMs (): number | null {
    return this.#callerLeftAtMs === null ? null : Math.round(performance.now() - this.#callerLeftAtMs)
  }

  /** Records that the caller takes up a stream again; `softwareVersion` is null if it is not known what began it. */
  recordTakenUp (softwareVersion: string | null): void {
    const { call } = this.#plan
    this.#dependencies.decisionLog.record({ type: 'takenUp', requestId: call.requestId, firstRequestId: call.firstRequestId ?? '', softwareVersion, afterMs: this.getAgeMs() })
  }

  /** Records that the router refused the request. */
  recordRefused ({ reason, status, mayHaveRun, attempts, retryAfterMs, detail }: Refusal): void {
    const { call, route, identity } = this.#plan
    this.#dependencies.metrics.recordRefusal(reason)
    if (!mayHaveRun) this.#dependencies.putBackUsage(this.#plan)
    this.#dependencies.decisionLog.record({
      type: 'refused',
      requestId: call.requestId,
      route: route.name,
      organisation: identity?.organisation ?? '',
      status,
      reason,
      ran: mayHaveRun ? 'may-have-run' : 'not-run',
      attempts,
      totalMs: this.getAgeMs(),
      retryAfterMs,
      detail
    })
  }

  /** Records that the connection was closed without an answer, though the caller waited for one. */
  recordUnanswered (): void {
    const { call, route } = this.#plan
    this.#dependencies.metrics.recordUnanswered()
    this.#dependencies.decisionLog.record({ type: 'unanswered', requestId: call.requestId, route: route.name, afterMs: this.getAgeMs() })
  }

  /** Records an attempt that ended without a response. */
  recordAttemptEnded (runningAttempt: RunningAttempt, outcome: string, reason: string, isRetried: boolean): void {
    const { call } = this.#plan
    const { connectionEnd } = runningAttempt.attempt
    if (connectionEnd !== null) this.#dependencies.metrics.recordBodyEnd(connectionEnd)
    this.#dependencies.decisionLog.record({ type: 'attemptEnded', requestId: call.requestId, attempt: runningAttempt.attemptNumber, endpoint: runningAttempt.endpoint, relayVm: getRelayVm(runningAttempt), outcome, reason, isRetried, afterMs: Math.round(performance.now() - runningAttempt.startedAtMs) })
  }

  /** Records whether another endpoint has taken over from an attempt; `result` is null if that is not needed any more. `lastBytesAtMs` is the time of the last bytes forwarded; null before the first. */
  recordHandover ({ attempt, attemptNumber, endpoint, startedAtMs }: RunningAttempt, { cause, endpoint: successor }: AskedSuccession, result: SuccessionResult | null, lastBytesAtMs: number | null): void {
    // An attempt for which no endpoint could be chosen is logged once, however often it is tried.
    if (successor === '') {
      if (this.#unaskedAttempt === attemptNumber) return
      this.#unaskedAttempt = attemptNumber
    }
    const reason = result?.type === 'failed' ? result.reason : ''
    this.#dependencies.decisionLog.record({ type: 'handover', requestId: this.#plan.call.requestId, attempt: attemptNumber, endpoint, successor, cause, isTaken: result?.type === 'taken', reason: result === null ? 'not needed any more' : reason, hasResponse: attempt.hasResponse, silentMs: Math.round(performance.now() - (lastBytesAtMs ?? startedAtMs)) })
  }

  /** Records that the forwarding of a response has ended before the response was complete; `bytes` is what was forwarded of its body. */
  recordUnfinished ({ attemptNumber, endpoint, startedAtMs }: RunningAttempt, bytes: number): void {
    this.#dependencies.decisionLog.record({ type: 'unfinished', requestId: this.#plan.call.requestId, attempt: attemptNumber, endpoint, bytes, pendingBytes: this.#dependencies.forwardedResponses.sumPendingBytes(), forMs: Math.round(performance.now() - startedAtMs) })
  }

  /** Records that the endpoint's response was forwarded completely; times in milliseconds. */
  recordAnswered (runningAttempt: RunningAttempt, status: number, firstByteMs: number, longestPauseMs: number, bytes: number): void {
    const { call, route, identity } = this.#plan
    this.#isAnswered = true
    const organisation = identity?.organisation ?? ''
    const totalMs = this.getAgeMs()
    if (status < MIN_SERVER_ERROR_STATUS) this.#reporter.recordSuccess(runningAttempt, status)
    const bodyEnd = runningAttempt.attempt.connectionEnd ?? 'framed'
    this.#dependencies.metrics.recordBodyEnd(bodyEnd)
    this.#dependencies.metrics.recordResponse({ route: route.name, organisation, priority: String(identity?.priority ?? route.priority) }, firstByteMs, totalMs)
    this.#dependencies.decisionLog.record({ type: 'answered', requestId: call.requestId, route: route.name, organisation, endpoint: runningAttempt.endpoint, relayVm: getRelayVm(runningAttempt), status, attempts: runningAttempt.attemptNumber, firstByteMs: Math.round(firstByteMs), longestPauseMs: Math.round(longestPauseMs), totalMs, bytes, bodyEnd })
  }
}

function classifyState (runningAttempt: RunningAttempt | null): RequestState {
  if (runningAttempt === null) return 'choosing'
  if (!runningAttempt.attempt.isSent) return 'connecting'
  return runningAttempt.attempt.hasResponse ? 'answering' : 'silent'
}

/** VM that relayed the attempt; empty without one. */
function getRelayVm ({ target }: RunningAttempt): string {
  return target.type === 'peer' ? target.peer.vm : ''
}

/** Rounds a relative run time to hundredths, as endpoints state it. */
function roundSlowdown (slowdown: number): number {
  return Math.round(slowdown * 100) / 100
}
