import type { AttemptId } from 'knapweedshunt-types'
import type { OrderReply } from './orderReply.ts'
import type { RunOutcome } from './outcomeRow.ts'

/** Output actions of {@link OrderStateMachine}, performed by {@link OrderRun}. */
export type OrderAction =
  /** Write the claim if the row has this version (0: absent). */
  | { type: 'claim', version: number }
  /** Wait for a jittered backoff delay, then emit `delay-elapsed`. */
  | { type: 'delay' }
  /** Send to the next endpoint, or with `isResend` to the same one under the same idempotency key. */
  | { type: 'send', attempt: AttemptId, isResend: boolean }
  | { type: 'cancel', attempt: AttemptId }
  /** Start the timer that emits `late-answer-timeout`. */
  | { type: 'await-late-answer' }
  /** Record the outcome; retried in the background until it is written to the tables. */
  | { type: 'record', outcome: RunOutcome }
  /** Release the claim in the background, even one that may take effect later, so that the key can be claimed again. */
  | { type: 'release' }
  /** Forward the order to the ticket's minter. */
  | { type: 'forward' }
  /** Reply to the caller; at most once per run. */
  | { type: 'answer', reply: OrderReply }
