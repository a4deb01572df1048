import type { AttemptAction, FailureCode } from 'knapweedshunt-attempts'
import { createCallerError } from './callerError.ts'
import type { CallerErrorInstance } from './callerError.ts'

const ERROR_MESSAGES: Record<FailureCode, string> = {
  no_endpoint: 'No endpoint can take the request now: try again later.',
  endpoint_failed: 'The endpoint failed while it had the request.',
  endpoint_rejected: 'The endpoint refused the request',
  endpoint_overloaded: 'The endpoints have too much work: try again later.',
  retry_budget_spent: 'The endpoint failed, and the organisation\'s retries are used up: try again later.',
  router_full: 'The router has no room for the response now: try again later.',
  request_quarantined: 'The request was in flight at two endpoint crashes and is not run for now: change it, or try again later.',
  weights_changed: 'The model\'s weights changed while the answer was being sent: ask again from the start.',
  software_changed: 'The engines\' software changed while the answer was being sent: ask again from the start.',
  deadline_exceeded: 'The deadline passed.'
}

/** Builds the error that a caller receives for a failed request; `message` is what the endpoint said, null for nothing. */
export function buildFailureError ({ code, ran, retryAfterMs, message }: Extract<AttemptAction, { type: 'fail' }>): CallerErrorInstance {
  const text = message === null ? ERROR_MESSAGES[code] : `${ERROR_MESSAGES[code]}: ${message}`
  return createCallerError(code, text, ran, retryAfterMs)
}
