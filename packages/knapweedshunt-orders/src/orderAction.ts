import type { AttemptId } from 'knapweedshunt-types'
import type { OrderReply } from './orderReply.ts'
import type { RunOutcome } from './outcomeRow.ts'

/** What to do for one run of an order. */
export type OrderAction =
  /** Put the claim if the row has the version (0: absent). */
  | { type: 'claim', version: number }
  /** Wait a jittered delay, then report `delayed`. */
  | { type: 'delay' }
  /** Send on the next endpoint, or with `again` on the same one under the same key. */
  | { type: 'send', attempt: AttemptId, again: boolean }
  | { type: 'cancel', attempt: AttemptId }
  /** Wait for a late answer, then report `lingered`. */
  | { type: 'linger' }
  /** Write the outcome, in the background until the tables have it. */
  | { type: 'record', outcome: RunOutcome }
  /** Void my claim in the background, also one that may take effect later, so that the key can be claimed anew. */
  | { type: 'release' }
  /** Ask the ticket's minter to run it. */
  | { type: 'forward' }
  /** Tell the caller; at most one per run. */
  | { type: 'answer', reply: OrderReply }
