import type { Platform } from 'knapweedshunt-platform'
import type { Incarnation } from 'knapweedshunt-types'
import type { BookHandover, TicketQuery } from './closedBook.ts'
import type { OrderOptions } from './orderOptions.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderTable } from './orderTable.ts'

/** What the order service of one router is made of. */
export interface OrderServiceOptions {
  incarnation: Incarnation
  /** Base URL of this router's peer port, carried in its tickets. */
  peerUrl (): string
  /** Within the budgets of this VM. */
  platform: Platform
  /** Key shared by the system's processes; signs tickets. */
  sharedKey: string
  peers: OrderPeers
  bounds: OrderOptions
  /** Decisions; tests put a changed copy here. */
  table: OrderTable
}

/** Other routers, for what a closing router knew. */
export interface OrderPeers {
  /** Hands a closing book over. Resolves to whether a peer took it. */
  passBook (handover: BookHandover): Promise<boolean>
  /** Asks the peers that would have been handed the minter's book. Null when none can tell. */
  findTicket (query: TicketQuery): Promise<OrderReply | null>
}
