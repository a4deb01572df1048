import type { Incarnation } from 'knapweedshunt-types'
import type { OrderRequest } from './orderRequest.ts'
import type { RunOutcome } from './outcomeRow.ts'

/** Row of table `ticket-books`: closing record of a minter that has shut down and runs no further ticket. */
export interface ClosedLedger {
  minter: Incarnation
  /** Bitmap of the used serials, from {@link UsedSerialSet.encode}. */
  used: { first: number, bits: string }
  closedAtMs: number
}

/** Outcome that is not written to the tables yet. */
export interface UnwrittenOutcome {
  order: OrderRequest
  nonce: string
  outcome: RunOutcome
}

/** Claim that its owner abandoned. Only the owner can know this; it never sends the order. */
export interface AbandonedClaim {
  order: OrderRequest
  nonce: string
}

/** State that a router passes to a peer when it shuts down while the tables are unavailable. */
export interface LedgerHandover {
  book: ClosedLedger
  outcomes: UnwrittenOutcome[]
  abandoned: AbandonedClaim[]
}

/** Query for a pinned ticket whose minter may have shut down. */
export interface TicketQuery {
  minter: Incarnation
  serial: number
  order: Pick<OrderRequest, 'organisation' | 'key'>
  /** Request digest to compare with the recorded one; null on a status call. */
  digest: string | null
}
