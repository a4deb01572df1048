import type { AttemptId } from 'knapweedshunt-types'

/** State of one run. */
export type OrderState =
  | { type: 'idle' }
  /** `mayApply`: a claim whose answer was lost may have taken effect, or may yet. */
  | { type: 'claiming', version: number, mayApply: boolean }
  | SendingState
  /** The caller was told `may-have-run`; a late answer still narrows the record. */
  | { type: 'lingering', attempt: AttemptId }
  | { type: 'forwarding' }
  | { type: 'closed' }

/** An attempt is out. */
export interface SendingState {
  type: 'sending'
  attempt: AttemptId
  /** Attempts so far, 1 for the first. */
  attempts: number
  /** Re-sends so far on an endpoint that runs a key once. */
  resends: number
  /** The attempt has an endpoint, so bytes may have been sent. */
  placed: boolean
  /** The present endpoint runs a key once. */
  safeAgain: boolean
  /** An earlier attempt broke after bytes may have been sent. */
  touched: boolean
}
