import type { AbandonedClaim, BookHandover, ClosedBook, TicketQuery, UnwrittenOutcome } from './closedBook.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import { convertOutcome } from './orderTable.ts'
import { isSerialUsed } from './runSet.ts'
import type { TableLedger } from './tableLedger.ts'
import type { TicketBook } from './ticketBook.ts'

/** Table of {@link ClosedBook}, by minter. */
export const BOOKS_TABLE = 'ticket-books'

/** A closed minter runs nothing more, so what it did not use never runs. Null for a used serial. */
export function readBook (book: ClosedBook, serial: number): OrderReply | null {
  return isSerialUsed(book.used, serial) ? null : { type: 'not-run', reason: 'refused' }
}

/** Passes on what a closing router knows, and keeps what peers passed on until the tables have it. */
export class BookKeeper {
  readonly #options: OrderServiceOptions
  readonly #tables: TableLedger
  readonly #signal: AbortSignal
  readonly #taken = new Map<string, BookHandover>()

  constructor (options: OrderServiceOptions, tables: TableLedger, signal: AbortSignal) {
    this.#options = options
    this.#tables = tables
    this.#signal = signal
  }

  /** Takes a peer's book: answers for it, and writes it when the tables answer. */
  take (handover: BookHandover): void {
    this.#taken.set(handover.book.minter, handover)
    this.#writeTaken(handover).catch(() => {})
  }

  /** Answers from a book that was taken over; null when none tells. */
  answer (query: TicketQuery): OrderReply | null {
    const taken = this.#taken.get(query.minter)
    if (taken === undefined) return null
    const { key, organisation } = query.order
    const found = taken.outcomes.find(({ order }) => order.key === key && order.organisation === organisation)
    if (found === undefined) return readBook(taken.book, query.serial)
    return query.digest === null || query.digest === found.order.digest ? convertOutcome(found.outcome) : { type: 'mismatch' }
  }

  /** Closes this process's own book, when no order runs any more. Writes it until the signal aborts, then passes it to a peer. */
  async close (book: TicketBook, outcomes: UnwrittenOutcome[], abandoned: AbandonedClaim[]): Promise<void> {
    for (const handover of this.#taken.values()) await this.#options.peers.passBook(handover)
    const isWritten = outcomes.length === 0 && abandoned.length === 0
    if (book.issued === 0 && isWritten) return
    const closed = book.close()
    if (isWritten) await this.#writeBook(closed)
    if (isWritten && !this.#signal.aborted) return
    await this.#options.peers.passBook({ book: closed, outcomes, abandoned })
  }

  /** Outcomes before the book: what a reader finds used, it can look up. */
  async #writeTaken ({ book, outcomes, abandoned }: BookHandover): Promise<void> {
    for (const { order, nonce, outcome } of outcomes) this.#tables.record(order, nonce, outcome)
    await Promise.all(abandoned.map(({ order, nonce }) => this.#tables.release(order, nonce, this.#signal)))
    await this.#tables.writer.waitEmpty()
    await this.#writeBook(book)
    if (!this.#signal.aborted) this.#taken.delete(book.minter)
  }

  async #writeBook (book: ClosedBook): Promise<void> {
    await this.#tables.insert({ table: BOOKS_TABLE, key: book.minter, version: 0, value: book }, this.#signal)
  }
}
