import { PlatformError } from 'knapweedshunt-platform'
import type { Platform, Row } from 'knapweedshunt-platform'
import { BOOKS_TABLE } from './bookKeeper.ts'
import type { ClaimRow } from './claimRow.ts'
import type { ClosedBook } from './closedBook.ts'
import type { OrderOptions } from './orderOptions.ts'
import type { OutcomeRow } from './outcomeRow.ts'
import { CLAIMS_TABLE, OUTCOMES_TABLE } from './tableLedger.ts'

const PAGE_ROWS = 100

/** One table with the rule for rows that are past their time. */
interface SweptTable {
  table: string
  /** Last key seen; empty at the start. */
  after: string
  isPast (row: Row, nowMs: number): boolean
}

/** Deletes rows past their declared time: outcomes and books at the retention, claims at the tombstone age. Any router may do it. */
export class TableSweeper {
  readonly #platform: Platform
  readonly #tables: SweptTable[]

  constructor (platform: Platform, bounds: OrderOptions) {
    this.#platform = platform
    this.#tables = [
      { table: CLAIMS_TABLE, after: '', isPast: (row, nowMs) => nowMs - (row.value as ClaimRow).claimedAtMs > bounds.tombstoneMs },
      { table: OUTCOMES_TABLE, after: '', isPast: (row, nowMs) => nowMs - (row.value as OutcomeRow).recordedAtMs > bounds.retentionMs },
      { table: BOOKS_TABLE, after: '', isPast: (row, nowMs) => nowMs - (row.value as ClosedBook).closedAtMs > bounds.retentionMs }
    ]
  }

  /** Looks at the next page of each table. Never throws PlatformError. */
  async sweepPage (): Promise<void> {
    for (const swept of this.#tables) {
      try {
        await this.#sweepTable(swept)
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error
      }
    }
  }

  /** A row that changed since the scan fails the transaction; the next pass looks again. */
  async #sweepTable (swept: SweptTable): Promise<void> {
    const { table, after } = swept
    const rows = await this.#platform.scan({ table, after, limit: PAGE_ROWS })
    swept.after = rows.length < PAGE_ROWS ? '' : rows.at(-1)?.key ?? ''
    const past = rows.filter(row => swept.isPast(row, Date.now()))
    if (past.length === 0) return
    await this.#platform.transact({
      checks: past.map(({ key, version }) => ({ table, key, version })),
      writes: past.map(({ key }) => ({ type: 'delete', table, key }))
    })
  }
}
