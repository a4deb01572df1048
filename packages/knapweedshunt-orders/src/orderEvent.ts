import type { AttemptId, RecordedAnswer } from 'knapweedshunt-types'
import type { VersionedClaim } from './claimRow.ts'
import type { RunOutcome } from './outcomeRow.ts'
import type { OrderReply } from './orderReply.ts'

/** Where an order is executed: `here` after a claim, or on the `minter` of its pinned ticket. */
export type ExecutionSite = 'here' | 'minter'

/** Input events of {@link OrderStateMachine}. */
export type OrderEvent =
  | { type: 'started', site: ExecutionSite }
  /** The claim of this run is committed. `isLate`: the deadline passed in the meantime. */
  | { type: 'claimed', isLate: boolean }
  /** Another claim exists; `outcome` is null while none is recorded. `expired`: its outcome is no longer kept. */
  | { type: 'known', present: VersionedClaim, outcome: RunOutcome | null, expired: boolean }
  /** The response to the claim was lost: the claim may have taken effect, or may still do so. */
  | { type: 'lost' }
  /** The claim was not sent, or was refused: it has no effect. */
  | { type: 'unsent' }
  /** The delay before the next claim attempt has elapsed. */
  | { type: 'delay-elapsed' }
  /** The claim was not settled within `claimTimeoutMs`. */
  | { type: 'claim-timeout' }
  /** The attempt has an endpoint and may send bytes from now on. `canResend`: the endpoint runs an idempotency key at most once. */
  | { type: 'placed', attempt: AttemptId, canResend: boolean }
  /** The connection was refused before any byte was sent. */
  | { type: 'refused', attempt: AttemptId }
  /** No endpoint was available for the attempt. */
  | { type: 'unplaceable', attempt: AttemptId }
  /** The connection broke after a byte may have been sent. */
  | { type: 'broken', attempt: AttemptId }
  /** `answer` is null when it was too long to keep. */
  | { type: 'answered', attempt: AttemptId, answer: RecordedAnswer | null }
  | { type: 'deadline' }
  /** No late answer arrived within `lateAnswerTimeoutMs`. */
  | { type: 'late-answer-timeout' }
  /** The minter replied. */
  | { type: 'forwarded', reply: OrderReply }
  /** The minter did not reply, or its URL now serves another incarnation. */
  | { type: 'forward-failed' }
