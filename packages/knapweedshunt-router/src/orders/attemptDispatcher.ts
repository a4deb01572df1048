import type { AttemptEvent, Usage } from 'knapweedshunt-attempts'
import type { OrderDispatcher, OrderEvent } from 'knapweedshunt-orders'
import type { AttemptId, EndpointName, RecordedAnswer } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { AttemptLauncher } from '../attemptLauncher.ts'
import { buildFailureError } from '../buildFailureError.ts'
import { CallerError } from '../callerError.ts'
import type { CallerErrorInstance } from '../callerError.ts'
import type { CallerRequest } from '../callerRequest.ts'
import type { CallerSink } from '../callerSink.ts'
import type { DataPath } from '../dataPath.ts'
import { waitForAdmission } from '../waitForAdmission.ts'
import { buildCompletionRecord } from './completionRecord.ts'

const MIN_SERVER_ERROR_STATUS = 500

type EmitOrderEvent = (event: OrderEvent) => void

/** An attempt that has not ended: it waits for admission or is in flight. */
interface PendingAttempt {
  attempt: AttemptId
  startedAtMs: number
  emit: EmitOrderEvent
  abort: AbortController
}

/** Sends the attempts of one order, one at a time, and streams tokens to the caller as they arrive. */
export class AttemptDispatcher implements OrderDispatcher {
  readonly #path: DataPath
  readonly #request: CallerRequest
  readonly #launcher: AttemptLauncher
  readonly #texts: string[] = []
  readonly #triedEndpoints: EndpointName[] = []
  readonly #pending = new Map<AttemptId, PendingAttempt>()
  #sink: CallerSink | null
  #usage: Usage | null = null
  #refusal: CallerErrorInstance | null = null
  #answer: RecordedAnswer | null = null

  constructor (path: DataPath, request: CallerRequest, sink: CallerSink | null) {
    this.#path = path
    this.#request = { ...request, repeatable: false, resumeFrom: 0 }
    this.#sink = sink
    const backpressureSink = { deliver () {}, deliverAnswer () {}, finish () {}, fail () {}, waitDrain: (signal: AbortSignal) => this.#sink?.waitDrain?.(signal) ?? null }
    this.#launcher = new AttemptLauncher(path, this.#request, backpressureSink, event => this.#handleAttemptEvent(event))
  }

  /** Error with which admission or the quarantine check last refused an attempt; null when neither did. */
  get refusal (): CallerErrorInstance | null {
    return this.#refusal
  }

  /** Complete answer of this run, also when it is too long to be recorded; null until an attempt is answered. */
  get answer (): RecordedAnswer | null {
    return this.#answer
  }

  /** Token usage that the engine reported in this run; null when it reported none. */
  get usage (): Usage | null {
    return this.#usage
  }

  /** Stops streaming to the caller. Called when the caller's final answer or error is known, because an attempt may still emit tokens. */
  detach (): void {
    this.#sink = null
  }

  send (attempt: AttemptId, isResend: boolean, emit: EmitOrderEvent): void {
    const pending = { attempt, startedAtMs: performance.now(), emit, abort: new AbortController() }
    this.#pending.set(attempt, pending)
    this.#admitAndPlace(pending, isResend).catch(error => {
      this.#path.log.error('Order attempt failed with an unexpected error.', { requestId: this.#request.requestId, reason: String(error) })
      this.#endAttempt(pending, { type: 'broken', attempt })
    })
  }

  cancel (attempt: AttemptId): void {
    this.#pending.get(attempt)?.abort.abort()
    this.#launcher.cancel(attempt)
  }

  async #admitAndPlace (pending: PendingAttempt, isResend: boolean): Promise<void> {
    const { attempt, abort } = pending
    try {
      await waitForAdmission(this.#path, { ...this.#request, requestId: attempt }, abort.signal)
    } catch (error) {
      if (!(error instanceof CallerError)) throw error
      this.#refusal = error
      this.#pending.delete(attempt)
      return pending.emit({ type: 'unplaceable', attempt })
    }
    if (abort.signal.aborted) return this.#endAttempt(pending, { type: 'unplaceable', attempt })
    this.#launcher.place({ type: 'place', attempt, excluded: isResend ? this.#listAllButLastTried() : [...this.#triedEndpoints], resumeFrom: this.#texts.length })
  }

  /** Usable endpoints of the pool except the last one tried, so that a resend goes to that endpoint only. */
  #listAllButLastTried (): EndpointName[] {
    const last = this.#triedEndpoints.at(-1)
    return this.#path.endpoints.listUsable(this.#request.pool).map(entry => entry.endpoint).filter(endpoint => endpoint !== last)
  }

  #handleAttemptEvent (event: AttemptEvent): void {
    const pending = 'attempt' in event ? this.#pending.get(event.attempt) : undefined
    if (pending === undefined) return
    const { attempt } = pending
    match(event)
      .with({ type: 'placed' }, ({ endpoint }) => this.#handlePlaced(pending, endpoint))
      .with({ type: 'token' }, ({ n, text }) => this.#handleToken(n, text, attempt))
      .with({ type: 'usage' }, ({ usage }) => { this.#usage = usage })
      .with({ type: 'answer' }, ({ answer }) => {
        if (answer.status >= MIN_SERVER_ERROR_STATUS) this.#endAttempt(pending, { type: 'broken', attempt })
        else this.#completeAttempt(pending, answer)
      })
      .with({ type: 'end' }, () => this.#completeAttempt(pending, buildCompletionRecord(this.#texts, this.#usage)))
      .with({ type: 'quarantined' }, ({ retryAfterMs }) => {
        this.#refusal = buildFailureError({ type: 'fail', code: 'request_quarantined', ran: 'not-run', retryAfterMs, message: null })
        this.#endAttempt(pending, { type: 'unplaceable', attempt })
      })
      .with({ type: 'limited' }, ({ retryAfterMs }) => {
        this.#refusal = buildFailureError({ type: 'fail', code: 'endpoint_overloaded', ran: 'not-run', retryAfterMs, message: null })
        this.#endAttempt(pending, { type: 'unplaceable', attempt })
      })
      .with({ type: 'unplaceable' }, () => this.#endAttempt(pending, { type: 'unplaceable', attempt }))
      .with({ type: 'refused' }, () => this.#endAttempt(pending, { type: 'refused', attempt }))
      .with({ type: 'broken' }, ({ reason }) => {
        if (reason === 'reset' || reason === 'lost') this.#recordCrash(pending)
        this.#endAttempt(pending, { type: 'broken', attempt })
      })
      .with({ type: 'rejected' }, { type: 'stalled' }, () => this.#endAttempt(pending, { type: 'broken', attempt }))
      .otherwise(() => {})
  }

  /** Cancels the launch when the attempt was cancelled before an endpoint was chosen, so that nothing is sent. */
  #handlePlaced ({ attempt, abort, emit }: PendingAttempt, endpoint: EndpointName): void {
    if (abort.signal.aborted) return this.#launcher.cancel(attempt)
    this.#triedEndpoints.push(endpoint)
    emit({ type: 'placed', attempt, canResend: this.#canResend(endpoint) })
  }

  /** Whether the endpoint would run a resent order at most once. Only service calls carry the idempotency key to the endpoint. */
  #canResend (endpoint: EndpointName): boolean {
    return this.#request.work.type === 'service' && this.#path.orders.hasKeyDeduplication(endpoint)
  }

  /** Delivers the next token and ignores duplicates. A gap cancels the attempt, because later tokens could not be delivered in order. */
  #handleToken (n: number, text: string, attempt: AttemptId): void {
    if (n < this.#texts.length) return
    if (n > this.#texts.length) return this.#launcher.cancel(attempt)
    this.#texts.push(text)
    this.#sink?.deliver(n, text)
  }

  #recordCrash ({ startedAtMs }: PendingAttempt): void {
    const endpoint = this.#triedEndpoints.at(-1)
    if (endpoint !== undefined) this.#path.suspectGuard.recordCrash(this.#request, endpoint, startedAtMs)
  }

  #completeAttempt (pending: PendingAttempt, answer: RecordedAnswer): void {
    const { attempt } = pending
    this.#answer = answer
    this.#path.suspectGuard.recordSuccess(this.#request)
    const isStorable = answer.body.length <= this.#path.orders.maxAnswerChars
    this.#endAttempt(pending, { type: 'answered', attempt, answer: isStorable ? answer : null })
  }

  #endAttempt (pending: PendingAttempt, event: OrderEvent): void {
    if (!this.#pending.delete(pending.attempt)) return
    this.#path.admission.release(pending.attempt)
    pending.emit(event)
  }
}
