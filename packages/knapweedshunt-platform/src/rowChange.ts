import type { Row } from './row.ts'

/** Conditional change of one row: applied only if the row has the given version (compare-and-set). */
export interface RowChange {
  table: string
  key: string
  /** Expected version; 0 means that the row must be absent. */
  version: number
  /** Value to put, or null to delete the row. */
  value: object | null
}

/** Result of a conditional row change. */
export type RowChangeResult =
  | { type: 'committed' }
  /** The row had another version and was not changed; `row` is the present row, null if it is absent. */
  | { type: 'conflict', row: Row | null }
