import type { AttemptId, EndpointName, Incarnation, Ran, WeightsVersion } from 'knapweedshunt-types'

/** Token counts that an engine gives at the end of a stream. */
export interface Usage {
  promptTokens: number
  completionTokens: number
  cachedTokens: number
}

/** Whole answer of a plain service. */
export interface WholeAnswer {
  status: number
  contentType: string
  body: string
}

/** Why an attempt was lost after bytes of the request may have been sent. */
export type BreakReason =
  /** The connection was reset, or closed before the end mark. */
  | 'reset'
  /** No connection came about, for another reason than a refusal. */
  | 'unreached'
  /** Membership says that the endpoint is dead or came back as another incarnation. */
  | 'lost'
  /** What came was no event stream, or an event that cannot be read. */
  | 'malformed'

/** Which wait was too long. */
export type StallKind = 'first-token' | 'between-tokens'

/** What happened to a request or one of its attempts. */
export type AttemptEvent =
  | { type: 'placed', attempt: AttemptId, endpoint: EndpointName, incarnation: Incarnation }
  /** No endpoint can take the attempt; `all-excluded` when only endpoints tried before are left. */
  | { type: 'unplaceable', attempt: AttemptId, reason: 'no-endpoint' | 'all-excluded' }
  /** Another crash of the request was heard of: it may not run now. */
  | { type: 'quarantined', attempt: AttemptId, retryAfterMs: number }
  /** The connection was refused before any byte of the request was sent. */
  | { type: 'refused', attempt: AttemptId }
  | { type: 'head', attempt: AttemptId, status: number, incarnation: Incarnation, weightsVersion: WeightsVersion }
  | { type: 'token', attempt: AttemptId, n: number, text: string }
  | { type: 'usage', attempt: AttemptId, usage: Usage }
  | { type: 'answer', attempt: AttemptId, answer: WholeAnswer }
  | { type: 'end', attempt: AttemptId }
  /** An engine answered with an error before its first token; `message` is its own. */
  | { type: 'rejected', attempt: AttemptId, status: number, retryAfterMs: number | null, message: string }
  /** The connection broke after at least one byte may have been sent. */
  | { type: 'broken', attempt: AttemptId, reason: BreakReason }
  | { type: 'stalled', attempt: AttemptId, kind: StallKind }
  /** The wait that a `wait` action asked for is over. */
  | { type: 'waited', attempt: AttemptId }
  /** The wait that a `hedgeAfter` action asked for is over. */
  | { type: 'hedgeDue' }
  | { type: 'callerGone' }
  | { type: 'deadline' }

/** Why a request failed for good. */
export type FailureCode =
  | 'no_endpoint'
  | 'endpoint_failed'
  | 'endpoint_rejected'
  | 'endpoint_overloaded'
  | 'retry_budget_spent'
  | 'request_quarantined'
  | 'weights_changed'
  | 'deadline_exceeded'

/** What to do. */
export type AttemptAction =
  /** Choose an endpoint outside `excluded` and send the request, to be answered from token `resumeFrom` on. */
  | { type: 'place', attempt: AttemptId, excluded: EndpointName[], resumeFrom: number }
  /** Report `waited` after the time. */
  | { type: 'wait', attempt: AttemptId, ms: number }
  /** Report `hedgeDue` after the time. */
  | { type: 'hedgeAfter', ms: number }
  | { type: 'cancel', attempt: AttemptId }
  /** The attempt may have crashed the endpoint. */
  | { type: 'crashed', attempt: AttemptId, endpoint: EndpointName }
  | { type: 'deliver', n: number, text: string }
  | { type: 'deliverAnswer', answer: WholeAnswer }
  | { type: 'finish', usage: Usage | null }
  | { type: 'fail', code: FailureCode, ran: Ran, retryAfterMs: number | null, message: string | null }
