import type { ForwardTicket } from './orderPorts.ts'
import type { OrderReply } from './orderReply.ts'
import type { Ticket } from './ticket.ts'

/** Calls the ticket's minter; null when `forward` is omitted, the minter cannot be reached, or it is another incarnation. */
export async function tryForward (ticket: Ticket, forward: ForwardTicket | undefined): Promise<OrderReply | null> {
  try {
    return forward === undefined ? null : await forward(ticket.minterUrl)
  } catch {
    return null
  }
}
