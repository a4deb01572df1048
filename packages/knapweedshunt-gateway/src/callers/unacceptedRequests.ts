import type { UnacceptedReason } from '../records/decision.ts'

/** Requests of one connection that were read and not accepted; `sinceMs` is the monotonic time at which the first one was read. */
export interface UnacceptedRequests {
  reason: UnacceptedReason
  count: number
  sinceMs: number
}
