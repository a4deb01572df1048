import type { Platform } from 'knapweedshunt-platform'
import type { Incarnation } from 'knapweedshunt-types'
import type { LedgerHandover, TicketQuery } from './closedLedger.ts'
import type { OrderOptions } from './orderOptions.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderTransitionTable } from './orderTransitionTable.ts'

/** Dependencies and settings of one router's {@link OrderService}. */
export interface OrderServiceOptions {
  incarnation: Incarnation
  /** Base URL of this router's peer port, included in the tickets it mints. */
  getPeerUrl (): string
  /** Must already enforce this VM's read and write budgets. */
  platform: Platform
  /** Key shared by all processes of the system; tickets are signed with it. */
  sharedKey: string
  peers: OrderPeers
  bounds: OrderOptions
  /** State transition table. Mutation tests pass altered copies. */
  table: OrderTransitionTable
}

/** Calls to peer routers about routers that have shut down. */
export interface OrderPeers {
  /** Sends the handover of a router that is shutting down. Resolves to whether a peer accepted it. */
  sendHandover (handover: LedgerHandover): Promise<boolean>
  /** Asks the peers that would have received the minter's handover. Null when none of them can answer. */
  findTicket (query: TicketQuery): Promise<OrderReply | null>
}
