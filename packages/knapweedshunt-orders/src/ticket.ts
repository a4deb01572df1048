import type { Incarnation, OrganisationName } from 'knapweedshunt-types'

/** What a ticket says; callers hold it signed and opaque. */
export interface Ticket {
  /** `durable`: any router may run it, by a claim. `pinned`: only its minter may. */
  type: 'durable' | 'pinned'
  organisation: OrganisationName
  /** Random for a durable ticket, the minter's serial number for a pinned one. */
  id: string
  minter: Incarnation
  /** Base URL of the minter's peer port. */
  minterUrl: string
  /** Wall clock of the minter, in milliseconds. */
  expiresAtMs: number
}

/** A ticket as handed to its caller. */
export interface MintedTicket {
  ticket: string
  type: Ticket['type']
  expiresAtMs: number
}
