import type { OrganisationName } from 'knapweedshunt-types'

/** An order as a router sees it. */
export interface OrderRequest {
  organisation: OrganisationName
  /** Row key below the organisation, of {@link nameOwnKey} or {@link nameTicketKey}. */
  key: string
  /** Digest of the request; the same key with another digest is an error. */
  digest: string
}

/** Key of an order under the caller's own `Idempotency-Key`; never equal to a ticket's. */
export function nameOwnKey (idempotencyKey: string): string {
  return `own:${idempotencyKey}`
}

/** Key of an order under a ticket. */
export function nameTicketKey (ticket: string): string {
  return `ticket:${ticket}`
}
