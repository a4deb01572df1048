import { PlatformError } from 'knapweedshunt-platform'
import { BOOKS_TABLE, readBook } from './bookKeeper.ts'
import type { BookKeeper } from './bookKeeper.ts'
import { callForward } from './callForward.ts'
import type { ClosedBook, TicketQuery } from './closedBook.ts'
import type { ForwardTicket } from './orderPorts.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderRequest } from './orderRequest.ts'
import { nameTicketKey } from './orderRequest.ts'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import { convertOutcome } from './orderTable.ts'
import type { TableLedger } from './tableLedger.ts'
import type { Ticket } from './ticket.ts'
import { namePinnedId, PINNED_NONCE } from './ticketBook.ts'
import type { TicketBook } from './ticketBook.ts'

type OrderKey = Pick<OrderRequest, 'organisation' | 'key'>

/** Tells what became of orders without running any. */
export class StatusReader {
  readonly #options: OrderServiceOptions
  readonly #tables: TableLedger
  readonly #book: TicketBook
  readonly #keeper: BookKeeper

  constructor (options: OrderServiceOptions, tables: TableLedger, book: TicketBook, keeper: BookKeeper) {
    this.#options = options
    this.#tables = tables
    this.#book = book
    this.#keeper = keeper
  }

  /** Order that any router may run. */
  async readTables (order: OrderKey): Promise<OrderReply> {
    const held = this.#tables.writer.find(order)
    if (held !== null) return convertOutcome(held.outcome)
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

  /** Order under a ticket. */
  async readTicket (ticket: Ticket, forward?: ForwardTicket): Promise<OrderReply> {
    const { organisation } = ticket
    if (ticket.type === 'durable') return this.readTables({ organisation, key: nameTicketKey(ticket.id) })
    const order = { organisation, key: nameTicketKey(namePinnedId(ticket.minter, ticket.id)) }
    if (ticket.minter === this.#options.incarnation) return this.#readOwnBook(ticket, order)
    return await callForward(ticket, forward) ?? await this.readClosed(ticket, order, null) ?? { type: 'may-have-run' }
  }

  /** Pinned ticket of a minter that can't be asked: known only when it has closed, or recorded the outcome. Null when unknown. A digest is compared with the recorded one. */
  async readClosed (ticket: Ticket, order: OrderKey, digest: string | null): Promise<OrderReply | null> {
    try {
      const outcome = await this.#tables.readOutcome(order, PINNED_NONCE)
      if (outcome !== null && digest !== null && outcome.digest !== digest) return { type: 'mismatch' }
      if (outcome !== null) return convertOutcome(outcome)
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error
    }
    return this.#readBooks({ minter: ticket.minter, serial: Number(ticket.id), order, digest })
  }

  async #readOwnBook (ticket: Ticket, order: OrderKey): Promise<OrderReply> {
    const entry = this.#book.find(Number(ticket.id))
    switch (entry.type) {
      case 'unused':
        return { type: 'unknown' }
      case 'used':
        return entry.outcome === null ? { type: 'in-progress' } : convertOutcome(entry.outcome)
      case 'forgotten':
        return await this.readClosed(ticket, order, null) ?? { type: 'expired' }
    }
  }

  async #readBooks (query: TicketQuery): Promise<OrderReply | null> {
    const taken = this.#keeper.answer(query)
    if (taken !== null) return taken
    try {
      const row = await this.#options.platform.read(BOOKS_TABLE, query.minter)
      if (row !== null) return readBook(row.value as ClosedBook, query.serial)
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error
    }
    return this.#options.peers.findTicket(query)
  }
}
