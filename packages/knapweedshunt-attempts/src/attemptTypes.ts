import type { AttemptId, EndpointName, Incarnation, Ran } from 'knapweedshunt-types'

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

/** What happened to a request or one of its attempts. */
export type AttemptEvent =
  | { type: 'placed', attempt: AttemptId, endpoint: EndpointName }
  | { type: 'unplaceable', attempt: AttemptId }
  /** The connection was refused before any byte of the request was sent. */
  | { type: 'refused', attempt: AttemptId }
  | { type: 'head', attempt: AttemptId, status: number, incarnation: Incarnation }
  | { type: 'token', attempt: AttemptId, n: number, text: string }
  | { type: 'usage', attempt: AttemptId, usage: Usage }
  | { type: 'answer', attempt: AttemptId, answer: WholeAnswer }
  | { type: 'end', attempt: AttemptId }
  /** The connection broke after at least one byte may have been sent. */
  | { type: 'broken', attempt: AttemptId }
  | { type: 'callerGone' }
  | { type: 'deadline' }

/** Why a request failed for good. */
export type FailureCode = 'no_endpoint' | 'endpoint_failed' | 'deadline_exceeded'

/** What to do. */
export type AttemptAction =
  /** Choose an endpoint outside `excluded` and send the request, to be answered from token `resumeFrom` on. */
  | { type: 'place', attempt: AttemptId, excluded: EndpointName[], resumeFrom: number }
  | { type: 'cancel', attempt: AttemptId }
  | { type: 'deliver', n: number, text: string }
  | { type: 'deliverAnswer', answer: WholeAnswer }
  | { type: 'finish', usage: Usage | null }
  | { type: 'fail', code: FailureCode, ran: Ran }
