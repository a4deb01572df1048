import ModernError from 'modern-errors'
import type { InstanceOptions } from 'modern-errors'
import type { ErrorBody, ExecutionState } from 'knapweedshunt-types'

/** Stable error codes of responses to callers, with HTTP status and error type. */
export const CALLER_ERROR_CODES = {
  bad_request: { status: 400, type: 'invalid_request_error' },
  body_too_large: { status: 413, type: 'invalid_request_error' },
  header_invalid: { status: 400, type: 'invalid_request_error' },
  key_missing: { status: 401, type: 'authentication_error' },
  key_unknown: { status: 401, type: 'authentication_error' },
  route_unknown: { status: 404, type: 'invalid_request_error' },
  order_unknown: { status: 404, type: 'invalid_request_error' },
  method_not_allowed: { status: 405, type: 'invalid_request_error' },
  idempotency_key_required: { status: 400, type: 'invalid_request_error' },
  idempotency_key_reused: { status: 422, type: 'invalid_request_error' },
  order_in_progress: { status: 409, type: 'invalid_request_error' },
  order_may_have_run: { status: 409, type: 'server_error' },
  order_not_run: { status: 409, type: 'server_error' },
  order_ran: { status: 409, type: 'server_error' },
  order_key_expired: { status: 410, type: 'invalid_request_error' },
  ticket_invalid: { status: 400, type: 'invalid_request_error' },
  order_store_unreadable: { status: 503, type: 'server_error' },
  queue_full: { status: 429, type: 'rate_limit_error' },
  limit_exceeded: { status: 429, type: 'rate_limit_error' },
  deadline_unreachable: { status: 503, type: 'server_error' },
  deadline_exceeded: { status: 504, type: 'server_error' },
  no_endpoint: { status: 503, type: 'server_error' },
  endpoint_failed: { status: 502, type: 'server_error' },
  endpoint_rejected: { status: 400, type: 'invalid_request_error' },
  endpoint_overloaded: { status: 503, type: 'server_error' },
  retry_budget_spent: { status: 503, type: 'server_error' },
  router_full: { status: 503, type: 'server_error' },
  request_quarantined: { status: 422, type: 'invalid_request_error' },
  weights_changed: { status: 503, type: 'server_error' },
  software_changed: { status: 503, type: 'server_error' },
  shutting_down: { status: 503, type: 'server_error' },
  request_unreadable: { status: 400, type: 'invalid_request_error' },
  request_too_slow: { status: 408, type: 'invalid_request_error' },
  headers_too_large: { status: 431, type: 'invalid_request_error' },
  not_ready: { status: 503, type: 'server_error' },
  internal: { status: 500, type: 'server_error' }
} as const satisfies Record<string, { status: number, type: ErrorBody['error']['type'] }>

/** Key of {@link CALLER_ERROR_CODES}, sent as `code` in error bodies. */
export type CallerErrorCode = keyof typeof CALLER_ERROR_CODES

/** Properties of a {@link CallerError} besides its message. */
export interface CallerErrorOptions extends InstanceOptions {
  code?: CallerErrorCode
  ran?: ExecutionState
  /** Delay after which a retry may succeed, in milliseconds; null when a retry does not help. */
  retryAfterMs?: number | null
}

/** Error that is sent to a caller; create it with {@link createCallerError}. */
export const CallerError = ModernError.subclass('CallerError', {
  custom: class extends ModernError {
    readonly code: CallerErrorCode
    readonly ran: ExecutionState
    readonly retryAfterMs: number | null

    constructor (message: string, options?: CallerErrorOptions) {
      super(message, options)
      this.code = options?.code ?? 'internal'
      this.ran = options?.ran ?? 'may-have-run'
      this.retryAfterMs = options?.retryAfterMs ?? null
    }
  }
})

/** Instance type of {@link CallerError}, which is itself a value. */
export type CallerErrorInstance = InstanceType<typeof CallerError>

/** Creates the error for a code; `retryAfterMs` is null when a retry does not help. */
export function createCallerError (code: CallerErrorCode, message: string, ran: ExecutionState = 'not-run', retryAfterMs: number | null = null): CallerErrorInstance {
  return new CallerError(message, { code, ran, retryAfterMs })
}
