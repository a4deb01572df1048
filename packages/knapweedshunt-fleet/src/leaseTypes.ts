import type { FencingNumber } from 'knapweedshunt-types'
import type { LeaseRow } from './leaseState.ts'

/** What is known of a lease row: its table version (0 when absent) and value. */
export interface SeenLease {
  version: number
  row: LeaseRow | null
}

/** What happens to a contender. */
export type LeaseEvent =
  /** Time passed. */
  | { type: 'tick' }
  /** A read was answered. */
  | { type: 'rowRead', seen: SeenLease }
  /** A read was not answered. */
  | { type: 'rowUnread' }
  | { type: 'writeCommitted' }
  /** Another write came first. */
  | { type: 'writeRefused' }
  /** No answer: the write may have taken effect, or may yet. */
  | { type: 'writeLost' }
  /** The lease is to be given up. */
  | { type: 'release' }

/** What a contender wants done. */
export type LeaseAction =
  | { type: 'read' }
  /** Write the row if it still has this version. */
  | { type: 'write', version: number, row: LeaseRow }

/** A write whose answer has not settled. */
export interface PendingWrite {
  row: LeaseRow
  sentAtMs: number
}

/** A lease that its holder says it has given up. */
export interface EndedLease {
  fencing: FencingNumber
  /** Time by `readElapsedMs` at which that was heard, or later. */
  atMs: number
}

/** A lease as its holder knows it. */
export interface HeldLease {
  fencing: number
  /** Time by `readElapsedMs` since which no other holder gave an order; -Infinity when there was none. */
  othersEndMs: number
  /** End by the same clock, counted from the moment the last settled write was sent. */
  untilMs: number
}
