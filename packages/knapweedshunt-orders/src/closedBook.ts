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

/** What a closing minter passes to a peer while the tables don't answer. */
export interface BookHandover {
  book: ClosedBook
  outcomes: UnwrittenOutcome[]
}
