import type { Row } from './row.ts'

/** Change of one row, applied only when the row has the version. */
export interface RowChange {
  table: string
  key: string
  /** 0 stands for an absent row. */
  version: number
  /** Value to put, or null to delete the row. */
  value: object | null
}

/** What became of a change. */
export type RowChangeResult =
  | { type: 'committed' }
  /** The row had another version; null when it is absent. */
  | { type: 'conflict', row: Row | null }
