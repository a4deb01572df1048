import type { Row } from './row.ts'

/** The row must have this version when the transaction commits; 0 means absent. */
export interface TransactionCheck {
  table: string
  key: string
  version: number
}

/** One write of a transaction. */
export type TransactionWrite =
  | { type: 'put', table: string, key: string, value: unknown }
  | { type: 'delete', table: string, key: string }

/** All checks and writes take effect together or not at all. */
export interface Transaction {
  checks: TransactionCheck[]
  writes: TransactionWrite[]
}

/** Outcome of a transaction that was answered. */
export type TransactionResult =
  | { type: 'committed' }
  /** At least one check failed; `rows` are the present rows of the failed checks (version 0 when absent). */
  | { type: 'conflict', rows: Array<Row & { table: string }> }
