import type { AttemptId, RecordedAnswer } from 'knapweedshunt-types'
import type { VersionedClaim } from './claimRow.ts'
import type { RunOutcome } from './outcomeRow.ts'
import type { OrderReply } from './orderReply.ts'

/** Where an order is decided: here by a claim, or on the router that minted its pinned ticket. */
export type OrderPlace = 'here' | 'minter'

/** What happened to one run of an order on one router. */
export type OrderEvent =
  | { type: 'started', place: OrderPlace }
  /** The claim is committed and mine. `late`: the deadline passed meanwhile. */
  | { type: 'claimed', late: boolean }
  /** Another claim stands; `outcome` is null while none is recorded. */
  | { type: 'known', present: VersionedClaim, outcome: RunOutcome | null, expired: boolean }
  /** No answer came: the claim may have taken effect, or may yet. */
  | { type: 'lost' }
  /** The claim never left this VM. */
  | { type: 'unsent' }
  /** The delay before the next claim is over. */
  | { type: 'delayed' }
  /** The time for claiming is over. */
  | { type: 'patience' }
  /** The attempt has an endpoint and may send from now on. `safeAgain`: the endpoint runs a key once. */
  | { type: 'placed', attempt: AttemptId, safeAgain: boolean }
  /** The connection was refused before any byte. */
  | { type: 'refused', attempt: AttemptId }
  /** No endpoint took the attempt. */
  | { type: 'unplaceable', attempt: AttemptId }
  /** The connection broke after a byte may have been sent. */
  | { type: 'broken', attempt: AttemptId }
  | { type: 'answered', attempt: AttemptId, answer: RecordedAnswer | null }
  | { type: 'deadline' }
  /** The time to wait for a late answer is over. */
  | { type: 'lingered' }
  /** The minter answered. */
  | { type: 'forwarded', reply: OrderReply }
  /** The minter gave no answer, or is another incarnation. */
  | { type: 'unforwarded' }
