import { PlatformError } from 'knapweedshunt-platform'
import type { Platform, Row } from 'knapweedshunt-platform'
import { CLOSED_LEDGERS_TABLE } from './handoverManager.ts'
import type { ClaimRow } from './claimRow.ts'
import type { ClosedLedger } from './closedLedger.ts'
import type { OrderOptions } from './orderOptions.ts'
import type { OutcomeRow } from './outcomeRow.ts'
import { CLAIMS_TABLE, OUTCOMES_TABLE } from './tableLedger.ts'

const PAGE_ROWS = 100

/** A table and the rule that decides whether a row has expired. */
interface SweptTable {
  table: string
  /** Last key of the previous page; empty at the start of a pass. */
  after: string
  isExpired (row: Row, nowMs: number): boolean
}

/** Deletes expired rows: outcomes and closed ledgers after the retention period, claims after the tombstone retention period. Any router may run it. */
export class TableSweeper {
  readonly #platform: Platform
  readonly #tables: SweptTable[]

  constructor (platform: Platform, bounds: OrderOptions) {
    this.#platform = platform
    this.#tables = [
      { table: CLAIMS_TABLE, after: '', isExpired: (row, nowMs) => computeAgeMs<ClaimRow>(row, 'claimedAtMs', nowMs) > bounds.tombstoneRetentionMs },
      { table: OUTCOMES_TABLE, after: '', isExpired: (row, nowMs) => computeAgeMs<OutcomeRow>(row, 'recordedAtMs', nowMs) > bounds.retentionMs },
      { table: CLOSED_LEDGERS_TABLE, after: '', isExpired: (row, nowMs) => computeAgeMs<ClosedLedger>(row, 'closedAtMs', nowMs) > bounds.retentionMs }
    ]
  }

  /** Scans the next page of each table and deletes its expired rows. Never throws PlatformError. */
  async sweepPage (): Promise<void> {
    for (const swept of this.#tables) {
      try {
        await this.#sweepTable(swept)
      } catch (error) {
        if (!(error instanceof PlatformError)) throw error
      }
    }
  }

  /** The transaction fails if one of its rows changed since the scan; the next pass checks these rows again. */
  async #sweepTable (swept: SweptTable): Promise<void> {
    const { table, after } = swept
    const rows = await this.#platform.scan({ table, after, limit: PAGE_ROWS })
    swept.after = rows.length < PAGE_ROWS ? '' : rows.at(-1)?.key ?? ''
    const expiredRows = rows.filter(row => swept.isExpired(row, Date.now()))
    if (expiredRows.length === 0) return
    await this.#platform.transact({
      checks: expiredRows.map(({ key, version }) => ({ table, key, version })),
      writes: expiredRows.map(({ key }) => ({ type: 'delete', table, key }))
    })
  }
}

/** Age of a row by the time in one of its fields; 0 when that cannot be read, as such a row may stand for an order that ran. */
function computeAgeMs<T extends object> (row: Row, field: keyof T, nowMs: number): number {
  const atMs = (row.value as Partial<T> | null | undefined)?.[field]
  return typeof atMs === 'number' ? nowMs - atMs : 0
}
