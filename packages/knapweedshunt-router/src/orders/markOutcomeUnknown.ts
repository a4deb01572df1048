import type { IncomingHttpHeaders } from 'node:http'
import { createCallerError } from '../callerError.ts'
import type { CallerErrorInstance } from '../callerError.ts'

/** Converts an error raised before the order was looked up: `not-run` becomes `may-have-run` when the request carries an idempotency key or a ticket, because another VM may have run the order under it. */
export function markOutcomeUnknown (headers: IncomingHttpHeaders, error: CallerErrorInstance): CallerErrorInstance {
  const isOrder = headers['idempotency-key'] !== undefined || headers['x-order-ticket'] !== undefined
  if (!isOrder || error.ran !== 'not-run') return error
  return createCallerError(error.code, error.message, 'may-have-run', error.retryAfterMs)
}
