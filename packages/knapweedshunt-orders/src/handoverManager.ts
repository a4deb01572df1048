import type { AbandonedClaim, LedgerHandover, ClosedLedger, TicketQuery, UnwrittenOutcome } from './closedLedger.ts'
import type { OrderReply } from './orderReply.ts'
import type { OrderServiceOptions } from './orderServiceOptions.ts'
import { convertOutcome } from './orderTransitionTable.ts'
import { isSerialUsed } from './usedSerialSet.ts'
import type { TableLedger } from './tableLedger.ts'
import type { PinnedTicketLedger } from './pinnedTicketLedger.ts'

/** Table of {@link ClosedLedger}, keyed by minter. */
export const CLOSED_LEDGERS_TABLE = 'ticket-books'

/** Returns `not-run` for a serial that the closed ledger lists as unused, as its minter runs no further ticket. Null for a used serial, whose outcome has to be looked up. */
export function answerUnusedSerial (ledger: ClosedLedger, serial: number): OrderReply | null {
  return isSerialUsed(ledger.used, serial) ? null : { type: 'not-run', reason: 'refused' }
}

/** Hands over the state of this router when it shuts down, and keeps the handovers of peers until they are written to the tables. */
export class HandoverManager {
  readonly #options: OrderServiceOptions
  readonly #tables: TableLedger
  readonly #signal: AbortSignal
  readonly #accepted = new Map<string, LedgerHandover>()

  constructor (options: OrderServiceOptions, tables: TableLedger, signal: AbortSignal) {
    this.#options = options
    this.#tables = tables
    this.#signal = signal
  }

  /** Accepts a peer's handover: answers queries from it, and writes it once the tables are available. */
  accept (handover: LedgerHandover): void {
    this.#accepted.set(handover.book.minter, handover)
    this.#writeAccepted(handover).catch(() => {})
  }

  /** Answers a query from the accepted handover of the ticket's minter; null when there is none, or when it lists the serial as used without an outcome. */
  answer (query: TicketQuery): OrderReply | null {
    const handover = this.#accepted.get(query.minter)
    if (handover === undefined) return null
    const { key, organisation } = query.order
    const found = handover.outcomes.find(({ order }) => order.key === key && order.organisation === organisation)
    if (found === undefined) return answerUnusedSerial(handover.book, query.serial)
    return query.digest === null || query.digest === found.order.digest ? convertOutcome(found.outcome) : { type: 'mismatch' }
  }

  /** Closes this process's own ledger; called when no order is running. First passes on the accepted handovers that are not written yet. Then writes the ledger, with retries until the signal is aborted, or hands it over to a peer when that fails or when outcomes or abandoned claims are unwritten. */
  async close (ledger: PinnedTicketLedger, outcomes: UnwrittenOutcome[], abandoned: AbandonedClaim[]): Promise<void> {
    for (const handover of this.#accepted.values()) await this.#options.peers.sendHandover(handover)
    const isWritten = outcomes.length === 0 && abandoned.length === 0
    if (ledger.issuedCount === 0 && isWritten) return
    const closed = ledger.buildClosedLedger()
    if (isWritten) await this.#writeClosedLedger(closed)
    if (isWritten && !this.#signal.aborted) return
    await this.#options.peers.sendHandover({ book: closed, outcomes, abandoned })
  }

  /** Writes the outcomes before the ledger, so that a reader that finds a serial used can look up its outcome. */
  async #writeAccepted ({ book, outcomes, abandoned }: LedgerHandover): Promise<void> {
    for (const { order, nonce, outcome } of outcomes) this.#tables.record(order, nonce, outcome)
    await Promise.all(abandoned.map(({ order, nonce }) => this.#tables.release(order, nonce, this.#signal)))
    await this.#tables.writer.waitEmpty()
    await this.#writeClosedLedger(book)
    if (!this.#signal.aborted) this.#accepted.delete(book.minter)
  }

  async #writeClosedLedger (ledger: ClosedLedger): Promise<void> {
    await this.#tables.insertWithRetry({ table: CLOSED_LEDGERS_TABLE, key: ledger.minter, version: 0, value: ledger }, this.#signal)
  }
}
