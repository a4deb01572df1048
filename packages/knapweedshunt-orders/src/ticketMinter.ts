import type { Platform } from 'knapweedshunt-platform'
import { PlatformError } from 'knapweedshunt-platform'
import { createIncarnation } from 'knapweedshunt-utils'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import { signTicket } from './signTicket.ts'
import { CLAIMS_TABLE } from './tableLedger.ts'
import type { MintedTicket, Ticket } from './ticket.ts'
import type { PinnedTicketLedger } from './pinnedTicketLedger.ts'

const PROBE_KEY = 'probe'

interface Probe {
  answered: boolean
  atMs: number
}

/** Mints tickets. Probes the availability of the tables at most once per probe interval. */
export class TicketMinter {
  readonly #options: OrderServiceOptions
  readonly #ledger: PinnedTicketLedger
  #probe: Promise<Probe> | null = null

  constructor (options: OrderServiceOptions, ledger: PinnedTicketLedger) {
    this.#options = options
    this.#ledger = ledger
  }

  /** Mints a ticket that only this organisation can use. */
  async mint (organisation: string): Promise<MintedTicket> {
    const { incarnation, bounds, sharedKey } = this.#options
    const durable = await this.#isTableServiceAvailable()
    const expiresAtMs = Date.now() + bounds.ticketLifetimeMs
    const id = durable ? createIncarnation() : String(this.#ledger.issueSerial(expiresAtMs))
    const ticket: Ticket = { type: durable ? 'durable' : 'pinned', organisation, id, minter: incarnation, minterUrl: this.#options.getPeerUrl(), expiresAtMs }
    return { ticket: signTicket(ticket, sharedKey), type: ticket.type, expiresAtMs }
  }

  async #isTableServiceAvailable (): Promise<boolean> {
    const lastProbe = await this.#probe
    if (lastProbe === null || performance.now() - lastProbe.atMs > this.#options.bounds.probeIntervalMs) this.#probe = probeTables(this.#options.platform)
    return (await this.#probe as Probe).answered
  }
}

async function probeTables (platform: Platform): Promise<Probe> {
  try {
    await platform.read(CLAIMS_TABLE, PROBE_KEY)
    return { answered: true, atMs: performance.now() }
  } catch (error) {
    if (error instanceof PlatformError) return { answered: false, atMs: performance.now() }
    throw error
  }
}
