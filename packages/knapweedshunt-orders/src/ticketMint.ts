import type { Platform } from 'knapweedshunt-platform'
import { PlatformError } from 'knapweedshunt-platform'
import { createIncarnation } from 'knapweedshunt-utils'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import { signTicket } from './signTicket.ts'
import { CLAIMS_TABLE } from './tableLedger.ts'
import type { MintedTicket, Ticket } from './ticket.ts'
import type { TicketBook } from './ticketBook.ts'

const PROBE_KEY = 'probe'

interface Probe {
  answered: boolean
  atMs: number
}

/** Mints tickets; asks the tables at most once per probe time whether they answer. */
export class TicketMint {
  readonly #options: OrderServiceOptions
  readonly #book: TicketBook
  #probe: Promise<Probe> | null = null

  constructor (options: OrderServiceOptions, book: TicketBook) {
    this.#options = options
    this.#book = book
  }

  /** Mints a ticket bound to the organisation. */
  async mint (organisation: string): Promise<MintedTicket> {
    const { incarnation, bounds, sharedKey } = this.#options
    const durable = await this.#isAnswering()
    const expiresAtMs = Date.now() + bounds.ticketMs
    const id = durable ? createIncarnation() : String(this.#book.issue(expiresAtMs))
    const ticket: Ticket = { type: durable ? 'durable' : 'pinned', organisation, id, minter: incarnation, minterUrl: this.#options.peerUrl(), expiresAtMs }
    return { ticket: signTicket(ticket, sharedKey), type: ticket.type, expiresAtMs }
  }

  async #isAnswering (): Promise<boolean> {
    const last = await this.#probe
    if (last === null || performance.now() - last.atMs > this.#options.bounds.probeMs) this.#probe = probe(this.#options.platform)
    return (await this.#probe as Probe).answered
  }
}

async function probe (platform: Platform): Promise<Probe> {
  try {
    await platform.read(CLAIMS_TABLE, PROBE_KEY)
    return { answered: true, atMs: performance.now() }
  } catch (error) {
    if (error instanceof PlatformError) return { answered: false, atMs: performance.now() }
    throw error
  }
}
