import ModernError from 'modern-errors'
import type { RefusalReason } from '../records/decision.ts'

/** The router's own response to a request. */
export interface RouterResponse {
  status: number
  code: RefusalReason
  /** Time after which the caller may retry, in milliseconds; null if a retry does not help. */
  retryAfterMs: number | null
  /** Whether the connection is closed after the response. */
  closesConnection: boolean
}

const BaseCallerError = ModernError.subclass('CallerError', { props: { routerResponse: { status: 500, code: 'internal', retryAfterMs: null, closesConnection: false } as RouterResponse } })

/** Error whose `routerResponse` is sent to the caller. */
export const CallerError = BaseCallerError

/** Creates the error for a refusal. The code and status are sent to the caller; the message is only logged. */
export function createCallerError (status: number, code: RefusalReason, message: string, options: Partial<RouterResponse> = {}): InstanceType<typeof BaseCallerError> {
  const routerResponse: RouterResponse = { status, code, retryAfterMs: null, closesConnection: false, ...options }
  return new BaseCallerError(message, { props: { routerResponse } })
}
