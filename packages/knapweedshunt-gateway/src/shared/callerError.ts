import ModernError from 'modern-errors'
import type { RefusalReason } from '../records/decision.ts'

/** A caller's request that gets an answer of the router's own. */
export interface OwnAnswer {
  status: number
  code: RefusalReason
  /** When the caller may come again, in milliseconds; null when it need not. */
  retryAfterMs: number | null
  /** Whether the connection ends after the answer. */
  closes: boolean
}

const BaseCallerError = ModernError.subclass('CallerError', { props: { answer: { status: 500, code: 'internal', retryAfterMs: null, closes: false } as OwnAnswer } })

/** Error that is answered to the caller. */
export const CallerError = BaseCallerError

/** Creates the error for an answer of the router's own. */
export function createCallerError (status: number, code: RefusalReason, message: string, options: Partial<OwnAnswer> = {}): InstanceType<typeof BaseCallerError> {
  const answer: OwnAnswer = { status, code, retryAfterMs: null, closes: false, ...options }
  return new BaseCallerError(message, { props: { answer } })
}
