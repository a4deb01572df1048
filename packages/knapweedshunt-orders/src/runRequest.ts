import type { OrganisationName } from 'knapweedshunt-types'
import type { ForwardTicket, OrderDispatcher } from './orderPorts.ts'

/** An order under the caller's own key. */
export interface OwnKeyRun {
  organisation: OrganisationName
  idempotencyKey: string
  digest: string
  /** By the monotonic clock, milliseconds. */
  deadlineAtMs: number
  dispatcher: OrderDispatcher
}

/** An order under a ticket. */
export interface TicketRun {
  organisation: OrganisationName
  /** As the caller sent it. */
  ticket: string
  digest: string
  /** By the monotonic clock, milliseconds. */
  deadlineAtMs: number
  dispatcher: OrderDispatcher
  /** Left out when the request was forwarded already. */
  forward?: ForwardTicket
}
