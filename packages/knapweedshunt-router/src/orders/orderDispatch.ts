import type { AttemptEvent, Usage } from 'knapweedshunt-attempts'
import type { OrderDispatcher, OrderEvent } from 'knapweedshunt-orders'
import type { AttemptId, EndpointName, RecordedAnswer } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { AttemptLauncher } from '../attemptLauncher.ts'
import { buildFailure } from '../buildFailure.ts'
import { CallerError } from '../callerError.ts'
import type { CallerErrorInstance } from '../callerError.ts'
import type { CallerRequest } from '../callerRequest.ts'
import type { CallerSink } from '../callerSink.ts'
import type { DataPath } from '../dataPath.ts'
import { buildCompletionRecord } from './recordedCompletion.ts'

const FIRST_SERVER_ERROR = 500

type Emit = (event: OrderEvent) => void

/** One attempt that is out. */
interface Sent {
  attempt: AttemptId
  startedAtMs: number
  emit: Emit
  abort: AbortController
}

/** Sends the attempts of one order, one at a time; tokens go to the caller as they come. */
export class OrderDispatch implements OrderDispatcher {
  readonly #path: DataPath
  readonly #request: CallerRequest
  readonly #launcher: AttemptLauncher
  readonly #texts: string[] = []
  readonly #tried: EndpointName[] = []
  readonly #sent = new Map<AttemptId, Sent>()
  #sink: CallerSink | null
  #usage: Usage | null = null
  #refusal: CallerErrorInstance | null = null
  #answer: RecordedAnswer | null = null

  constructor (path: DataPath, request: CallerRequest, sink: CallerSink | null) {
    this.#path = path
    this.#request = { ...request, repeatable: false, resumeFrom: 0 }
    this.#sink = sink
    const drain = { deliver () {}, deliverAnswer () {}, finish () {}, fail () {}, waitDrain: (signal: AbortSignal) => this.#sink?.waitDrain?.(signal) ?? null }
    this.#launcher = new AttemptLauncher(path, this.#request, drain, event => this.#take(event))
  }

  /** Why the order was refused before it was sent, if it was. */
  get refusal (): CallerErrorInstance | null {
    return this.#refusal
  }

  /** Whole answer of this run, however long. */
  get answer (): RecordedAnswer | null {
    return this.#answer
  }

  /** Usage that the engine reported in this run. */
  get usage (): Usage | null {
    return this.#usage
  }

  /** Gives the caller nothing more: it has its final answer. */
  detach (): void {
    this.#sink = null
  }

  send (attempt: AttemptId, again: boolean, emit: Emit): void {
    const sent = { attempt, startedAtMs: performance.now(), emit, abort: new AbortController() }
    this.#sent.set(attempt, sent)
    this.#send(sent, again).catch(error => {
      this.#path.log.error('Order attempt failed inside.', { requestId: this.#request.requestId, reason: String(error) })
      this.#end(sent, { type: 'broken', attempt })
    })
  }

  cancel (attempt: AttemptId): void {
    this.#sent.get(attempt)?.abort.abort()
    this.#launcher.cancel(attempt)
  }

  async #send (sent: Sent, again: boolean): Promise<void> {
    const { attempt, abort } = sent
    try {
      await this.#path.gate.enter({ ...this.#request, requestId: attempt }, abort.signal)
    } catch (error) {
      if (!(error instanceof CallerError)) throw error
      this.#refusal = error
      this.#sent.delete(attempt)
      return sent.emit({ type: 'unplaceable', attempt })
    }
    if (abort.signal.aborted) return this.#end(sent, { type: 'unplaceable', attempt })
    this.#launcher.place({ type: 'place', attempt, excluded: again ? this.#listOthers() : [...this.#tried], resumeFrom: this.#texts.length })
  }

  /** All endpoints but the last one tried. */
  #listOthers (): EndpointName[] {
    const last = this.#tried.at(-1)
    return this.#path.endpoints.listUsable(this.#request.pool).map(entry => entry.endpoint).filter(endpoint => endpoint !== last)
  }

  #take (event: AttemptEvent): void {
    const sent = 'attempt' in event ? this.#sent.get(event.attempt) : undefined
    if (sent === undefined) return
    const { attempt } = sent
    match(event)
      .with({ type: 'placed' }, ({ endpoint }) => this.#notePlaced(sent, endpoint))
      .with({ type: 'token' }, ({ n, text }) => this.#takeToken(n, text, attempt))
      .with({ type: 'usage' }, ({ usage }) => { this.#usage = usage })
      .with({ type: 'answer' }, ({ answer }) => {
        if (answer.status >= FIRST_SERVER_ERROR) this.#end(sent, { type: 'broken', attempt })
        else this.#finish(sent, answer)
      })
      .with({ type: 'end' }, () => this.#finish(sent, buildCompletionRecord(this.#texts, this.#usage)))
      .with({ type: 'quarantined' }, ({ retryAfterMs }) => {
        this.#refusal = buildFailure({ type: 'fail', code: 'request_quarantined', ran: 'not-run', retryAfterMs, message: null })
        this.#end(sent, { type: 'unplaceable', attempt })
      })
      .with({ type: 'unplaceable' }, () => this.#end(sent, { type: 'unplaceable', attempt }))
      .with({ type: 'refused' }, () => this.#end(sent, { type: 'refused', attempt }))
      .with({ type: 'broken' }, ({ reason }) => {
        if (reason === 'reset' || reason === 'lost') this.#noteCrash(sent)
        this.#end(sent, { type: 'broken', attempt })
      })
      .with({ type: 'rejected' }, { type: 'stalled' }, () => this.#end(sent, { type: 'broken', attempt }))
      .otherwise(() => {})
  }

  /** An attempt that was cancelled before it had an endpoint sends nothing. */
  #notePlaced ({ attempt, abort, emit }: Sent, endpoint: EndpointName): void {
    if (abort.signal.aborted) return this.#launcher.cancel(attempt)
    this.#tried.push(endpoint)
    emit({ type: 'placed', attempt, canResend: this.#isSafeAgain(endpoint) })
  }

  /** Only calls of services carry the key to the endpoint. */
  #isSafeAgain (endpoint: EndpointName): boolean {
    return this.#request.work.type === 'service' && this.#path.orders.checksKeys(endpoint)
  }

  /** A gap ends the attempt: the rest could not be told in order. */
  #takeToken (n: number, text: string, attempt: AttemptId): void {
    if (n < this.#texts.length) return
    if (n > this.#texts.length) return this.#launcher.cancel(attempt)
    this.#texts.push(text)
    this.#sink?.deliver(n, text)
  }

  #noteCrash ({ startedAtMs }: Sent): void {
    const endpoint = this.#tried.at(-1)
    if (endpoint !== undefined) this.#path.suspects.noteCrash(this.#request, endpoint, startedAtMs)
  }

  #finish (sent: Sent, answer: RecordedAnswer): void {
    const { attempt } = sent
    this.#answer = answer
    this.#path.suspects.noteSuccess(this.#request)
    const isKept = answer.body.length <= this.#path.orders.maxAnswerChars
    this.#end(sent, { type: 'answered', attempt, answer: isKept ? answer : null })
  }

  #end (sent: Sent, event: OrderEvent): void {
    if (!this.#sent.delete(sent.attempt)) return
    this.#path.gate.leave(sent.attempt)
    sent.emit(event)
  }
}
