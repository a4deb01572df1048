import type { AttemptId, EndpointName, Incarnation, ExecutionState, WeightsVersion } from 'knapweedshunt-types'

/** Token counts reported by an engine at the end of a stream. */
export interface Usage {
  promptTokens: number
  completionTokens: number
  cachedTokens: number
}

/** Complete answer of a service that does not stream tokens. */
export interface PlainAnswer {
  status: number
  contentType: string
  body: string
}

/** Why an attempt failed after bytes of the request may have been sent. */
export type AttemptFailureReason =
  /** The connection was reset, or closed before the end of the stream. */
  | 'reset'
  /** No connection could be established, for a reason other than a refused connection. */
  | 'unreached'
  /** Membership reports the endpoint dead or restarted with another incarnation. */
  | 'lost'
  /** The response had a status that no response has, was not an event stream, or contained an event that cannot be parsed. */
  | 'malformed'
  /** This router had no room for the response; nothing is known of the endpoint. */
  | 'no-room'
  /** Another router, through which the attempt was sent, did not say how it ended; nothing is known of the endpoint. */
  | 'relay'

/** Which token timeout expired. */
export type StallKind = 'first-token' | 'between-tokens'

/** Input of the state machine: an event of the request or of one of its attempts. */
export type AttemptEvent =
  | { type: 'placed', attempt: AttemptId, endpoint: EndpointName, incarnation: Incarnation }
  /** No endpoint is available for the attempt; `all-excluded` when the only usable endpoints are excluded because they were tried before, `other-software` when they have another software version than the one that began the stream. */
  | { type: 'unplaceable', attempt: AttemptId, reason: 'no-endpoint' | 'all-excluded' | 'other-software' }
  /** Only endpoints whose rate limits are used could take the attempt; one may be sent a request after `retryAfterMs`, null if that is not known. */
  | { type: 'limited', attempt: AttemptId, retryAfterMs: number | null }
  /** The request was quarantined because of another crash, reported here or by a peer. */
  | { type: 'quarantined', attempt: AttemptId, retryAfterMs: number }
  /** The connection was refused, so no byte of the request was sent. */
  | { type: 'refused', attempt: AttemptId }
  /** `softwareVersion` is that of the engine's software; it and `weightsVersion` are empty if not stated. */
  | { type: 'head', attempt: AttemptId, status: number, incarnation: Incarnation, weightsVersion: WeightsVersion, softwareVersion: string }
  | { type: 'token', attempt: AttemptId, n: number, text: string }
  | { type: 'usage', attempt: AttemptId, usage: Usage }
  | { type: 'answer', attempt: AttemptId, answer: PlainAnswer }
  | { type: 'end', attempt: AttemptId }
  /** The engine answered with an error status before the first token; `message` is the engine's error text. */
  | { type: 'rejected', attempt: AttemptId, status: number, retryAfterMs: number | null, message: string }
  /** The attempt failed after at least one byte of the request may have been sent. */
  | { type: 'broken', attempt: AttemptId, reason: AttemptFailureReason }
  /** No token came within the timeout; the attempt goes on, and this is repeated after each further timeout. */
  | { type: 'stalled', attempt: AttemptId, kind: StallKind }
  /** The delay of a `wait` action has elapsed. */
  | { type: 'waited', attempt: AttemptId }
  /** The delay of a `hedgeAfter` action has elapsed. */
  | { type: 'hedgeDue' }
  | { type: 'callerGone' }
  | { type: 'deadline' }

/** Final error of a request, returned to the caller. */
export type FailureCode =
  | 'no_endpoint'
  | 'endpoint_failed'
  | 'endpoint_rejected'
  | 'endpoint_overloaded'
  | 'retry_budget_spent'
  | 'router_full'
  | 'request_quarantined'
  | 'weights_changed'
  | 'software_changed'
  | 'deadline_exceeded'

/** Output of the state machine, to be carried out by its caller. */
export type AttemptAction =
  /** Choose an endpoint that is not in `excluded` and send the request, to be answered from token `resumeFrom` on. */
  | { type: 'place', attempt: AttemptId, excluded: EndpointName[], resumeFrom: number }
  /** Send `waited` after the delay. */
  | { type: 'wait', attempt: AttemptId, ms: number }
  /** Send `hedgeDue` after the delay. */
  | { type: 'hedgeAfter', ms: number }
  | { type: 'cancel', attempt: AttemptId }
  /** The endpoint may have crashed because of the attempt. */
  | { type: 'crashed', attempt: AttemptId, endpoint: EndpointName }
  | { type: 'deliver', n: number, text: string }
  | { type: 'deliverAnswer', answer: PlainAnswer }
  | { type: 'finish', usage: Usage | null }
  | { type: 'fail', code: FailureCode, ran: ExecutionState, retryAfterMs: number | null, message: string | null }
