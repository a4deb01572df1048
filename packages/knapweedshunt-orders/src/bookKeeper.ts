import type { BookHandover, ClosedBook } from './closedBook.ts'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import type { TableLedger } from './tableLedger.ts'
import type { TicketBook } from './ticketBook.ts'
import type { UnwrittenOutcomes } from './unwrittenOutcomes.ts'

/** Table of {@link ClosedBook}, by minter. */
export const BOOKS_TABLE = 'ticket-books'

/** Passes on what a closing router knows, and keeps what peers passed on until the tables have it. */
export class BookKeeper {
  readonly #options: OrderServiceOptions
  readonly #tables: TableLedger
  readonly #signal: AbortSignal
  readonly #taken = new Map<string, ClosedBook>()

  constructor (options: OrderServiceOptions, tables: TableLedger, signal: AbortSignal) {
    this.#options = options
    this.#tables = tables
    this.#signal = signal
  }

  /** Takes a peer's book: answers for it, and writes it when the tables answer. */
  take (handover: BookHandover): void {
    this.#taken.set(handover.book.minter, handover.book)
    this.#writeTaken(handover).catch(() => {})
  }

  find (minter: string): ClosedBook | null {
    return this.#taken.get(minter) ?? null
  }

  /** Closes this process's own book, when no order runs any more. Writes it until the signal aborts, then passes it to a peer. */
  async close (book: TicketBook, unwritten: UnwrittenOutcomes): Promise<void> {
    if (book.issued === 0 && unwritten.size === 0) return
    const closed = book.close()
    if (unwritten.size === 0) await this.#writeBook(closed)
    if (!this.#signal.aborted) return
    await this.#options.peers.passBook({ book: closed, outcomes: unwritten.list() })
  }

  /** Outcomes before the book: what a reader finds used, it can look up. */
  async #writeTaken ({ book, outcomes }: BookHandover): Promise<void> {
    await Promise.all(outcomes.map(({ order, nonce, outcome }) => this.#tables.record(order, nonce, outcome, this.#signal)))
    await this.#writeBook(book)
    if (!this.#signal.aborted) this.#taken.delete(book.minter)
  }

  async #writeBook (book: ClosedBook): Promise<void> {
    await this.#tables.insert({ table: BOOKS_TABLE, key: book.minter, version: 0, value: book }, this.#signal)
  }
}
