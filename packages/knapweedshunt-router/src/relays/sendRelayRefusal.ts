import type { ServerResponse } from 'node:http'
import { sendJsonResponse } from 'knapweedshunt-utils'
import { abortResponse } from '../abortResponse.ts'
import type { CallerErrorInstance } from '../callerError.ts'
import { buildAnswerHeader } from './relayHeaders.ts'

const STATUS_REFUSED = 503

/** Refuses a relayed attempt; a response that has begun is broken off instead. */
export function sendRelayRefusal (response: ServerResponse, { code, ran, retryAfterMs, message }: CallerErrorInstance): void {
  if (response.headersSent) return abortResponse(response)
  sendJsonResponse(response, STATUS_REFUSED, {}, buildAnswerHeader({ type: 'refused', code, ran, retryAfterMs, message }))
}
