import type { FencingToken } from 'knapweedshunt-types'
import type { LeaseRow } from './leaseState.ts'

/** A lease row as read: its table version (0 when absent), its value (null when absent), and the era of the store (null if it states none). */
export interface LeaseSnapshot {
  version: number
  row: LeaseRow | null
  era: number | null
}

/** Event that a contender handles. */
export type LeaseEvent =
  /** Periodic tick. */
  | { type: 'tick' }
  /** Periodic tick of a contender that only follows the row, to know for how long it has not changed. */
  | { type: 'followTick' }
  /** A read succeeded. */
  | { type: 'rowRead', snapshot: LeaseSnapshot }
  /** A read failed or was not answered. */
  | { type: 'readFailed' }
  /** `era` is that of the store that applied the write; null if it states none. */
  | { type: 'writeCommitted', era: number | null }
  /** Another write was applied first, or the platform refused the write. */
  | { type: 'writeConflicted' }
  /** No answer: the write may have been applied, or may still be. */
  | { type: 'writeUnanswered' }
  /** The lease is to be released. */
  | { type: 'release' }

/** Action that a contender requests. */
export type LeaseAction =
  | { type: 'read' }
  /** Write the row if it still has this version. */
  | { type: 'write', version: number, row: LeaseRow }

/** A write that is not yet known to have been applied. */
export interface PendingWrite {
  row: LeaseRow
  sentAtMs: number
}

/** A lease whose holder has announced its release. */
export interface ReleasedLease {
  fencing: FencingToken
  /** Time by the monotonic clock at which the announcement was received, or later. */
  atMs: number
}

/** A held lease, as its holder tracks it. */
export interface HeldLease {
  fencing: number
  /** Time by the monotonic clock after which no other holder has sent a command, and may be ahead; -Infinity when there was no other holder. */
  previousHolderEndMs: number
  /** Expiry by `readElapsedMs`, counted from when the last applied write was sent. */
  validUntilMs: number
}
