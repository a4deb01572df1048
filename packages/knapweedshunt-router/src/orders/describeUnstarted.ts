import type { IncomingHttpHeaders } from 'node:http'
import { createCallerError } from '../callerError.ts'
import type { CallerErrorInstance } from '../callerError.ts'

/** An error before the order was looked up says nothing of what another VM did under its key. */
export function describeUnstarted (headers: IncomingHttpHeaders, error: CallerErrorInstance): CallerErrorInstance {
  const isOrder = headers['idempotency-key'] !== undefined || headers['x-order-ticket'] !== undefined
  if (!isOrder || error.ran !== 'not-run') return error
  return createCallerError(error.code, error.message, 'may-have-run', error.retryAfterMs)
}
