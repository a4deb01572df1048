import type { ServerResponse } from 'node:http'
import type { ErrorBody, RequestId } from 'knapweedshunt-types'
import { sendJsonResponse } from 'knapweedshunt-utils'
import { abortResponse } from './abortResponse.ts'
import { CALLER_ERROR_CODES } from './callerError.ts'
import type { CallerErrorInstance } from './callerError.ts'

const MS_PER_SECOND = 1_000

/** Builds the JSON body of an error response. */
export function buildErrorBody (error: CallerErrorInstance, requestId: RequestId): ErrorBody {
  return { error: { code: error.code, message: error.message, type: CALLER_ERROR_CODES[error.code].type, ran: error.ran, request_id: requestId } }
}

/** Sends status, JSON body and, if the error has a retry delay, `Retry-After` in whole seconds, rounded up; a response that has begun is broken off instead. */
export function sendCallerError (response: ServerResponse, error: CallerErrorInstance, requestId: RequestId): void {
  if (response.headersSent) return abortResponse(response)
  const headers: Record<string, string> = { 'x-request-id': requestId, 'x-ran': error.ran }
  if (error.retryAfterMs !== null) headers['retry-after'] = String(Math.ceil(error.retryAfterMs / MS_PER_SECOND))
  sendJsonResponse(response, CALLER_ERROR_CODES[error.code].status, buildErrorBody(error, requestId), headers)
}
