import type { Incarnation, OrganisationName } from 'knapweedshunt-types'

/** Content of a ticket. Callers receive it signed and treat it as opaque. */
export interface Ticket {
  /** `durable`: any router may run it after claiming it in the tables. `pinned`: only its minter may run it. */
  type: 'durable' | 'pinned'
  organisation: OrganisationName
  /** Random for a durable ticket, the minter's serial number for a pinned one. */
  id: string
  minter: Incarnation
  /** Base URL of the minter's peer port. */
  minterUrl: string
  /** Minter's wall clock, in milliseconds. */
  expiresAtMs: number
}

/** A signed ticket as returned to the caller. */
export interface MintedTicket {
  ticket: string
  type: Ticket['type']
  expiresAtMs: number
}
