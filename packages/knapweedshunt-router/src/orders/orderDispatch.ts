import type { AttemptEvent, Usage } from 'knapweedshunt-attempts'
import type { OrderDispatcher, OrderEvent } from 'knapweedshunt-orders'
import type { AttemptId, EndpointName, RecordedAnswer } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { runAttempt } from '../attemptCall.ts'
import { CallerError } from '../callerError.ts'
import type { CallerErrorInstance } from '../callerError.ts'
import type { CallerRequest } from '../callerRequest.ts'
import type { CallerSink } from '../callerSink.ts'
import type { DataPath } from '../dataPath.ts'
import { buildCompletionRecord } from './recordedCompletion.ts'

const FIRST_SERVER_ERROR = 500

interface Target {
  endpoint: EndpointName
  url: string
}

type Emit = (event: OrderEvent) => void

/** Sends the attempts of one order; tokens go to the caller as they come. */
export class OrderDispatch implements OrderDispatcher {
  readonly #path: DataPath
  readonly #request: CallerRequest
  readonly #texts: string[] = []
  readonly #tried: EndpointName[] = []
  readonly #aborts = new Map<AttemptId, AbortController>()
  #sink: CallerSink | null
  #target: Target | null = null
  #usage: Usage | null = null
  #refusal: CallerErrorInstance | null = null
  #answer: RecordedAnswer | null = null

  constructor (path: DataPath, request: CallerRequest, sink: CallerSink | null) {
    this.#path = path
    this.#request = { ...request, repeatable: false, resumeFrom: 0 }
    this.#sink = sink
  }

  /** Why admission refused the order, if it did. */
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
    const abort = new AbortController()
    this.#aborts.set(attempt, abort)
    this.#send(attempt, again, emit, abort.signal)
      .catch(error => {
        this.#path.log.error('Order attempt failed inside.', { requestId: this.#request.requestId, reason: String(error) })
        emit({ type: 'broken', attempt })
      })
      .finally(() => this.#aborts.delete(attempt))
  }

  cancel (attempt: AttemptId): void {
    this.#aborts.get(attempt)?.abort()
  }

  async #send (attempt: AttemptId, again: boolean, emit: Emit, signal: AbortSignal): Promise<void> {
    const admitted = { ...this.#request, requestId: attempt }
    try {
      await this.#path.gate.enter(admitted, signal)
    } catch (error) {
      if (!(error instanceof CallerError)) throw error
      this.#refusal = error
      return emit({ type: 'unplaceable', attempt })
    }
    try {
      await this.#sendAdmitted(attempt, again, emit, signal)
    } finally {
      this.#path.gate.leave(attempt)
    }
  }

  async #sendAdmitted (attempt: AttemptId, again: boolean, emit: Emit, signal: AbortSignal): Promise<void> {
    const target = again ? this.#target : this.#place()
    if (target === null || signal.aborted) return emit({ type: 'unplaceable', attempt })
    const { endpoint, url } = target
    const { placement, agent } = this.#path
    emit({ type: 'placed', attempt, safeAgain: this.#isSafeAgain(endpoint) })
    placement.take({ type: 'started', attempt, endpoint, tokens: this.#request.levels.at(-1)?.tokens ?? 0 })
    const take = (event: AttemptEvent) => this.#take(event, emit)
    await runAttempt({ attempt, url, request: this.#request, resumeFrom: this.#texts.length, agent, signal, emit: take })
    placement.take({ type: 'finished', attempt, cachedTokens: this.#usage?.cachedTokens ?? null })
  }

  #place (): Target | null {
    const { levels, pool } = this.#request
    const decision = this.#path.placement.place({ pool, levels, excluded: this.#tried })
    if (decision.type === 'unplaceable') return null
    this.#tried.push(decision.endpoint)
    this.#target = { endpoint: decision.endpoint, url: decision.url }
    return this.#target
  }

  /** Only calls of services carry the key to the endpoint. */
  #isSafeAgain (endpoint: EndpointName): boolean {
    return this.#request.work.type === 'service' && this.#path.orders.checksKeys(endpoint)
  }

  #take (event: AttemptEvent, emit: Emit): void {
    match(event)
      .with({ type: 'token' }, ({ n, text, attempt }) => this.#takeToken(n, text, attempt))
      .with({ type: 'usage' }, ({ usage }) => { this.#usage = usage })
      .with({ type: 'answer' }, ({ attempt, answer }) => {
        if (answer.status >= FIRST_SERVER_ERROR) return emit({ type: 'broken', attempt })
        this.#finish(attempt, answer, emit)
      })
      .with({ type: 'end' }, ({ attempt }) => this.#finish(attempt, buildCompletionRecord(this.#texts, this.#usage), emit))
      .with({ type: 'refused' }, { type: 'broken' }, ending => emit(ending))
      .otherwise(() => {})
  }

  /** A gap ends the attempt: the rest could not be told in order. */
  #takeToken (n: number, text: string, attempt: AttemptId): void {
    if (n < this.#texts.length) return
    if (n > this.#texts.length) return this.cancel(attempt)
    this.#texts.push(text)
    this.#sink?.deliver(n, text)
  }

  #finish (attempt: AttemptId, answer: RecordedAnswer, emit: Emit): void {
    this.#answer = answer
    const isKept = answer.body.length <= this.#path.orders.maxAnswerChars
    emit({ type: 'answered', attempt, answer: isKept ? answer : null })
  }
}
