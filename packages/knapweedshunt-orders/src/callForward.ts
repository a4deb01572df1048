import type { ForwardTicket } from './orderPorts.ts'
import type { OrderReply } from './orderReply.ts'
import type { Ticket } from './ticket.ts'

/** Asks the minter; null when it can't be asked or is another incarnation. */
export async function callForward (ticket: Ticket, forward: ForwardTicket | undefined): Promise<OrderReply | null> {
  try {
    return forward === undefined ? null : await forward(ticket.minterUrl)
  } catch {
    return null
  }
}
