import type { PlacedDecision } from 'knapweedshunt-placement'
import type { AttemptRun } from './attemptRun.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { RefusalReason } from '../records/decision.ts'
import type { FlowParts } from './flowParts.ts'
import type { RequestPlan } from './requestPlan.ts'

const FIRST_SERVER_ERROR = 500

/** Characters of a level's key that a log line shows. */
const PREFIX_CHARS = 6

/** What the router's own answer to a request was. */
export interface Refusal {
  reason: RefusalReason
  /** 0 for a connection that was ended. */
  status: number
  mayHaveRun: boolean
  attempts: number
  retryAfterMs: number
  detail: string
}

/** Notes what was decided about one request: log lines, figures, budgets. */
export class RequestRecord {
  readonly #parts: FlowParts
  readonly #plan: RequestPlan

  constructor (parts: FlowParts, plan: RequestPlan) {
    this.#parts = parts
    this.#plan = plan
  }

  /** Time since the request arrived, in milliseconds. */
  readAgeMs (): number {
    return Math.round(performance.now() - this.#plan.arrivedAtMs)
  }

  /** An endpoint was chosen for the attempt of the number. */
  noteChoice (attempt: number, record: EndpointRecord, { rank, expectedCachedTokens = 0, expectedWaitMs = 0 }: PlacedDecision): void {
    const { call, configRevision, deadlineAtMs, pool } = this.#plan
    const promptTokens = call.prompt?.tokens ?? 0
    if (promptTokens > 0) this.#parts.figures.recordPrompt(promptTokens, expectedCachedTokens)
    this.#parts.decisions.record({
      type: 'sent',
      requestId: call.requestId,
      attempt,
      pool,
      endpoint: record.entry.endpoint,
      incarnation: record.entry.incarnation,
      rank,
      prefix: this.#plan.levels.map(level => level.key.slice(0, PREFIX_CHARS)).join('>'),
      expectedCachedTokens,
      promptTokens,
      expectedWaitMs,
      open: record.open,
      loadAgeMs: Math.round(Math.min(performance.now() - record.loadAtMs, Number.MAX_SAFE_INTEGER)),
      configRevision,
      keysAgeMs: Math.round(Math.min(this.#parts.readKeysAgeMs(), Number.MAX_SAFE_INTEGER)),
      timeLeftMs: Math.round(deadlineAtMs - performance.now())
    })
  }

  /** The request got the router's own answer. */
  noteRefused ({ reason, status, mayHaveRun, attempts, retryAfterMs, detail }: Refusal): void {
    const { call, route, identity } = this.#plan
    this.#parts.figures.recordRefusal(reason)
    this.#parts.decisions.record({
      type: 'refused',
      requestId: call.requestId,
      route: route.name,
      organisation: identity?.organisation ?? '',
      status,
      reason,
      ran: mayHaveRun ? 'may-have-run' : 'not-run',
      attempts,
      totalMs: this.readAgeMs(),
      retryAfterMs,
      detail
    })
  }

  /** An attempt brought no answer. */
  noteEnded (running: AttemptRun, outcome: string, reason: string, isRetried: boolean): void {
    const { call } = this.#plan
    this.#parts.decisions.record({ type: 'attemptEnded', requestId: call.requestId, attempt: running.number, endpoint: running.record.entry.endpoint, outcome, reason, isRetried, afterMs: Math.round(performance.now() - running.startedAtMs) })
  }

  /** The endpoint's answer was passed on whole; times in milliseconds. */
  noteAnswered (running: AttemptRun, status: number, firstByteMs: number, longestPauseMs: number, bytes: number): void {
    const { call, route, identity } = this.#plan
    const organisation = identity?.organisation ?? ''
    const totalMs = this.readAgeMs()
    if (status < FIRST_SERVER_ERROR) this.#parts.noteSuccess(this.#plan.pool, this.#plan.fingerprint)
    this.#parts.figures.recordAnswer({ route: route.name, organisation, priority: String(identity?.priority ?? route.priority) }, firstByteMs, totalMs)
    this.#parts.decisions.record({ type: 'answered', requestId: call.requestId, route: route.name, organisation, endpoint: running.record.entry.endpoint, status, attempts: running.number, firstByteMs: Math.round(firstByteMs), longestPauseMs: Math.round(longestPauseMs), totalMs, bytes })
  }
}
