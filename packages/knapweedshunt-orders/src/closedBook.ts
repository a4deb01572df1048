import type { Incarnation } from 'knapweedshunt-types'
import type { OrderRequest } from './orderRequest.ts'
import type { RunOutcome } from './outcomeRow.ts'

/** Row of table `ticket-books`: a minter that has closed and will run no ticket again. */
export interface ClosedBook {
  minter: Incarnation
  /** Serials issued; every used one has its bit set. */
  used: { first: number, bits: string }
  closedAtMs: number
}

/** Outcome of a pinned ticket that its closing minter could not write. */
export interface UnwrittenOutcome {
  order: OrderRequest
  nonce: string
  outcome: RunOutcome
}

/** Claim that its owner gave up; only its owner can say so, and it never sends the order. */
export interface AbandonedClaim {
  order: OrderRequest
  nonce: string
}

/** What a closing minter passes to a peer while the tables don't answer. */
export interface BookHandover {
  book: ClosedBook
  outcomes: UnwrittenOutcome[]
  abandoned: AbandonedClaim[]
}

/** Question after a pinned ticket of a minter that has closed. */
export interface TicketQuery {
  minter: Incarnation
  serial: number
  order: Pick<OrderRequest, 'organisation' | 'key'>
  /** Digest of a request to be compared with the recorded one; null on a status call. */
  digest: string | null
}
