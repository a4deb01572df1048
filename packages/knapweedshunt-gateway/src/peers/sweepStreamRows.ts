import type { Platform, Row, TransactionWrite } from 'knapweedshunt-platform'
import type { DecisionLog } from '../records/decisionLog.ts'
import { decodeStreamRow, STREAM_TABLE } from './streamRow.ts'

/** Age from which rows are removed whoever wrote them, in milliseconds; their streams can no longer be resumed. */
const MAX_ROW_AGE_MS = 600_000

/** Maximum number of rows that one call reads, or removes. */
const MAX_ROWS = 50

/** Removes rows of VMs that have not come back, and rows that a store restored from a copy has brought back. Throws PlatformError. */
export async function sweepStreamRows (platform: Platform, decisionLog: DecisionLog): Promise<void> {
  for (let after: string | undefined; ;) {
    const rows = await platform.scan({ table: STREAM_TABLE, limit: MAX_ROWS, ...after !== undefined && { after } })
    const oldRows = rows.filter(row => Date.now() - (decodeStreamRow(row, decisionLog)?.writtenAtMs ?? 0) > MAX_ROW_AGE_MS)
    if (oldRows.length > 0) await platform.transact({ checks: oldRows.map(buildCheck), writes: oldRows.map(buildDeletion) })
    if (rows.length < MAX_ROWS) return
    after = rows[rows.length - 1].key
  }
}

function buildCheck ({ key, version }: Row) {
  return { table: STREAM_TABLE, key, version }
}

function buildDeletion ({ key }: Row): TransactionWrite {
  return { type: 'delete', table: STREAM_TABLE, key }
}
