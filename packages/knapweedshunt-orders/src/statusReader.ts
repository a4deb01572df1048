import { PlatformError } from 'knapweedshunt-platform'
import { CLOSED_LEDGERS_TABLE, answerUnusedSerial } from './handoverManager.ts'
import type { HandoverManager } from './handoverManager.ts'
import { tryForward } from './tryForward.ts'
import type { ClosedLedger, TicketQuery } from './closedLedger.ts'
import type { ForwardTicket } from './orderPorts.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderRequest } from './orderRequest.ts'
import { buildTicketKey } from './orderRequest.ts'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import { convertOutcome } from './orderTransitionTable.ts'
import type { TableLedger } from './tableLedger.ts'
import type { Ticket } from './ticket.ts'
import { buildPinnedTicketId, PINNED_NONCE } from './pinnedTicketLedger.ts'
import type { PinnedTicketLedger } from './pinnedTicketLedger.ts'

type OrderKey = Pick<OrderRequest, 'organisation' | 'key'>

/** Reads the status of orders without running them. */
export class StatusReader {
  readonly #options: OrderServiceOptions
  readonly #tables: TableLedger
  readonly #pinnedLedger: PinnedTicketLedger
  readonly #handovers: HandoverManager

  constructor (options: OrderServiceOptions, tables: TableLedger, pinnedLedger: PinnedTicketLedger, handovers: HandoverManager) {
    this.#options = options
    this.#tables = tables
    this.#pinnedLedger = pinnedLedger
    this.#handovers = handovers
  }

  /** Reads an order under a caller's own key or a durable ticket. Resolves to `unreadable` when the tables don't answer. */
  async readTableOrder (order: OrderKey): Promise<OrderReply> {
    const unwritten = this.#tables.writer.find(order)
    if (unwritten !== null) return convertOutcome(unwritten.outcome)
    try {
      const entry = await this.#tables.readEntry(order.organisation, order.key)
      if (entry.type === 'absent' || entry.present.claim.state === 'released') return { type: 'unknown' }
      if (entry.expired) return { type: 'expired' }
      return entry.outcome === null ? { type: 'in-progress' } : convertOutcome(entry.outcome)
    } catch (error) {
      if (error instanceof PlatformError) return { type: 'unreadable' }
      throw error
    }
  }

  /** Reads an order under a ticket. A pinned ticket of another router is looked up on its minter. */
  async readTicket (ticket: Ticket, forward?: ForwardTicket): Promise<OrderReply> {
    const { organisation } = ticket
    if (ticket.type === 'durable') return this.readTableOrder({ organisation, key: buildTicketKey(ticket.id) })
    const order = { organisation, key: buildTicketKey(buildPinnedTicketId(ticket.minter, ticket.id)) }
    if (ticket.minter === this.#options.incarnation) return this.#readOwnLedger(ticket, order)
    return await tryForward(ticket, forward) ?? await this.readTicketOfClosedMinter(ticket, order, null) ?? { type: 'may-have-run' }
  }

  /** Reads a pinned ticket whose minter cannot be reached. Its status is known only when the minter has recorded the outcome or has shut down; null otherwise. A non-null digest is compared with the recorded one. */
  async readTicketOfClosedMinter (ticket: Ticket, order: OrderKey, digest: string | null): Promise<OrderReply | null> {
    try {
      const outcome = await this.#tables.readOutcome(order, PINNED_NONCE)
      if (outcome !== null && digest !== null && outcome.digest !== digest) return { type: 'mismatch' }
      if (outcome !== null) return convertOutcome(outcome)
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error
    }
    return this.#readClosedLedgers({ minter: ticket.minter, serial: Number(ticket.id), order, digest })
  }

  async #readOwnLedger (ticket: Ticket, order: OrderKey): Promise<OrderReply> {
    const entry = this.#pinnedLedger.find(Number(ticket.id))
    switch (entry.type) {
      case 'unused':
        return { type: 'unknown' }
      case 'used':
        return entry.outcome === null ? { type: 'in-progress' } : convertOutcome(entry.outcome)
      case 'evicted':
        return await this.readTicketOfClosedMinter(ticket, order, null) ?? { type: 'expired' }
    }
  }

  async #readClosedLedgers (query: TicketQuery): Promise<OrderReply | null> {
    const fromHandover = this.#handovers.answer(query)
    if (fromHandover !== null) return fromHandover
    try {
      const row = await this.#options.platform.read(CLOSED_LEDGERS_TABLE, query.minter)
      if (row !== null) return answerUnusedSerial(row.value as ClosedLedger, query.serial)
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error
    }
    return this.#options.peers.findTicket(query)
  }
}
