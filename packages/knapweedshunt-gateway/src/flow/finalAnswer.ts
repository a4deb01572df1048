import type http from 'node:http'
import type { RefusalReason } from '../records/decision.ts'
import { sendOwnAnswer } from '../shared/sendOwnAnswer.ts'
import type { FlowParts } from './flowParts.ts'
import type { RequestPlan } from './requestPlan.ts'
import type { RequestRecord } from './requestRecord.ts'

/** Mean time after which a refused caller may come again, in milliseconds. */
const RETRY_AFTER_MS = 200

/** Status of a connection that is ended in the middle of an answer. */
const CUT = 0

/** Gives one request its final answer, once, when no endpoint's can be passed on. */
export class FinalAnswer {
  readonly #parts: FlowParts
  readonly #plan: RequestPlan
  readonly #record: RequestRecord
  readonly #answer: http.ServerResponse
  #isOver = false
  #mayHaveRun = false
  /** Attempts begun. */
  attempts = 0

  constructor (parts: FlowParts, plan: RequestPlan, record: RequestRecord, answer: http.ServerResponse) {
    this.#parts = parts
    this.#plan = plan
    this.#record = record
    this.#answer = answer
  }

  /** Whether the request has its final answer, or its caller left. */
  get isOver (): boolean {
    return this.#isOver
  }

  /** An endpoint runs or may have run the request: it is never said not to have run from now on. */
  noteMayHaveRun (): void {
    this.#mayHaveRun = true
  }

  /** Nothing more is to be answered. */
  end (): void {
    this.#isOver = true
  }

  /** The caller left; `isRunning` while an endpoint was asked. */
  noteCallerLeft (isRunning: boolean): void {
    this.#isOver = true
    this.#record.noteRefused({ reason: 'caller_left', status: CUT, mayHaveRun: this.#mayHaveRun || isRunning, attempts: this.attempts, retryAfterMs: 0, detail: '' })
  }

  /** Nobody served the request. */
  fail (reason: RefusalReason, detail: string): void {
    this.refuse(reason, this.#mayHaveRun ? 502 : 503, detail)
  }

  /** The time for the request was over. */
  expire (): void {
    this.refuse('timeout', this.#mayHaveRun ? 504 : 503, 'the time was over')
  }

  /** An answer that has begun cannot go on. */
  cut (detail: string): void {
    this.refuse('stream_cut', CUT, detail)
  }

  /** Answers with a status; an answer that has begun is broken off instead, so that it does not look whole. */
  refuse (reason: RefusalReason, status: number, detail: string): void {
    if (this.#isOver) return
    this.#isOver = true
    const retryAfterMs = status === 503 ? this.#parts.drawRetryMs(RETRY_AFTER_MS) : null
    this.#record.noteRefused({ reason, status, mayHaveRun: this.#mayHaveRun, attempts: this.attempts, retryAfterMs: retryAfterMs ?? 0, detail })
    sendOwnAnswer(this.#answer, this.#plan.call.requestId, { status: status === CUT ? 502 : status, code: reason, retryAfterMs, closes: false }, this.#parts.port)
  }
}
