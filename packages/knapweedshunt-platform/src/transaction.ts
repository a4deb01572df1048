import type { Row } from './row.ts'

/** Precondition of a transaction: the row must have this version at commit; 0 means that it must be absent. */
export interface TransactionCheck {
  table: string
  key: string
  version: number
}

/** Write of a transaction, discriminated by `type`. */
export type TransactionWrite =
  | { type: 'put', table: string, key: string, value: unknown }
  | { type: 'delete', table: string, key: string }

/** Atomic transaction: if every check holds, all writes take effect; otherwise none does. */
export interface Transaction {
  checks: TransactionCheck[]
  writes: TransactionWrite[]
}

/** Result of a transaction that the platform answered. */
export type TransactionResult =
  /** `era` is that of the store that applied the writes; absent or null from a store that states none. */
  | { type: 'committed', era?: number | null }
  /** At least one check failed and no write took effect; `rows` are the present rows of the failed checks (version 0 if absent). */
  | { type: 'conflict', rows: Array<Row & { table: string }> }
