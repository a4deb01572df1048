import type { Platform, Row } from 'knapweedshunt-platform'
import { ROSTER_TABLE } from '../directory/rosterRows.ts'

const PAGE_ROWS = 500

/** Reads all rows that the VMs share. Throws PlatformError. */
export async function readRoster (platform: Platform): Promise<Row[]> {
  const rows: Row[] = []
  for (;;) {
    const page = await platform.scan({ table: ROSTER_TABLE, limit: PAGE_ROWS, ...rows.length > 0 && { after: rows[rows.length - 1].key } })
    if (page.length === 0) return rows
    rows.push(...page)
  }
}
