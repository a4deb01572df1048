import type { AttemptId } from 'knapweedshunt-types'

/** States of {@link OrderStateMachine}. */
export type OrderState =
  | { type: 'idle' }
  /** `mayApply`: a claim whose response was lost may have taken effect, or may still do so. */
  | { type: 'claiming', version: number, mayApply: boolean }
  | SendingState
  /** The caller was told `may-have-run`; a late answer can still be recorded. */
  | { type: 'awaiting-late-answer', attempt: AttemptId }
  | { type: 'forwarding' }
  | { type: 'closed' }

/** An attempt is in flight. */
export interface SendingState {
  type: 'sending'
  attempt: AttemptId
  /** Number of attempts, including the current one. */
  attempts: number
  /** Number of re-sends to an endpoint that runs an idempotency key at most once. */
  resends: number
  /** The attempt has an endpoint, so bytes may have been sent. */
  placed: boolean
  /** The current endpoint runs an idempotency key at most once, so re-sending is safe. */
  canResend: boolean
  /** The connection of an earlier attempt broke after bytes may have been sent. */
  mayHaveRun: boolean
}
