import type { ExecutionState } from 'knapweedshunt-types'
import type { CallerErrorCode } from '../callerError.ts'

/** What a router tells another one with its response to a relayed attempt. */
export type RelayAnswer =
  /** The response is that of an endpoint. */
  | { type: 'forwarded' }
  /** The response is the router's own. */
  | { type: 'refused', code: CallerErrorCode, ran: ExecutionState, retryAfterMs: number | null, message: string }
