import type { AttemptId } from 'knapweedshunt-types'
import type { OrderEvent } from './orderEvent.ts'
import type { OrderLedger } from './orderLedger.ts'
import type { OrderReply } from './orderReply.ts'

/** Sends attempts of one order to endpoints. */
export interface OrderDispatcher {
  /** Sends; reports `placed` in the same turn in which bytes may start to leave, then `refused`, `unplaceable`, `broken` or `answered`. */
  send (attempt: AttemptId, again: boolean, emit: (event: OrderEvent) => void): void
  /** Ends the attempt. One that was not `placed` yet sends nothing. */
  cancel (attempt: AttemptId): void
}

/** Asks a ticket's minter at its peer URL. Resolves to null when it is another incarnation, rejects when it can't be reached. */
export type ForwardTicket = (minterUrl: string) => Promise<OrderReply | null>

/** What one run does its work with. */
export interface OrderPorts {
  ledger: OrderLedger
  dispatcher: OrderDispatcher
  /** Resolves to null when the minter gave no answer. */
  forward (): Promise<OrderReply | null>
}
