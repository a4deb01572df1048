import type { OrganisationName } from 'knapweedshunt-types'
import type { ForwardTicket, OrderDispatcher } from './orderPorts.ts'

/** Request to run an order under the caller's own idempotency key. */
export interface OwnKeyRequest {
  organisation: OrganisationName
  idempotencyKey: string
  digest: string
  /** Monotonic clock, milliseconds. */
  deadlineAtMs: number
  dispatcher: OrderDispatcher
}

/** Request to run an order under a ticket. */
export interface TicketRequest {
  organisation: OrganisationName
  /** Signed ticket as the caller sent it. */
  ticket: string
  digest: string
  /** Monotonic clock, milliseconds. */
  deadlineAtMs: number
  dispatcher: OrderDispatcher
  /** Omitted when the request was already forwarded, so that it is not forwarded twice. */
  forward?: ForwardTicket
}
