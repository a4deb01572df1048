import type { AttemptId } from 'knapweedshunt-types'
import type { OrderEvent } from './orderEvent.ts'
import type { OrderLedger } from './orderLedger.ts'
import type { OrderReply } from './orderReply.ts'

/** Sends attempts of one order to endpoints. */
export interface OrderDispatcher {
  /** Sends an attempt. Emits `placed` in the same event-loop turn in which bytes may start to be sent, then one of `refused`, `unplaceable`, `broken` and `answered`. `isResend`: to the same endpoint as before. */
  send (attempt: AttemptId, isResend: boolean, emit: (event: OrderEvent) => void): void
  /** Cancels the attempt. An attempt that is not `placed` yet sends nothing. */
  cancel (attempt: AttemptId): void
}

/** Calls a ticket's minter at its peer URL. Resolves to null when that router is another incarnation, rejects when it cannot be reached. */
export type ForwardTicket = (minterUrl: string) => Promise<OrderReply | null>

/** External dependencies of one run. */
export interface OrderPorts {
  ledger: OrderLedger
  dispatcher: OrderDispatcher
  /** Calls the ticket's minter. Resolves to null when it gave no reply. */
  forward (): Promise<OrderReply | null>
}
