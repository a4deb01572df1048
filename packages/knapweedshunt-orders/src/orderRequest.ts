import type { OrganisationName } from 'knapweedshunt-types'

/** Identity of an order. */
export interface OrderRequest {
  organisation: OrganisationName
  /** Key within the organisation, from {@link buildOwnKey} or {@link buildTicketKey}. */
  key: string
  /** Digest of the request; the same key with another digest is an error. */
  digest: string
}

/** Key of an order under the caller's own `Idempotency-Key`. Its prefix keeps it distinct from ticket keys. */
export function buildOwnKey (idempotencyKey: string): string {
  return `own:${idempotencyKey}`
}

/** Key of an order under a ticket, from the id of a durable ticket or from a pinned ticket id. */
export function buildTicketKey (ticket: string): string {
  return `ticket:${ticket}`
}
