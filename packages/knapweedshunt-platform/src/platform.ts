import type { VmListEntry } from 'knapweedshunt-types'
import type { Row } from './row.ts'
import type { Transaction, TransactionResult } from './transaction.ts'

/** Range scan of a table; rows are returned in ascending key order. */
export interface ScanRequest {
  table: string
  /** Exclusive lower bound of the keys. */
  after?: string
  prefix?: string
  limit: number
}

/** Services of the platform. Every method throws PlatformUnreachableError if no answer arrived; a write may then have taken effect. */
export interface Platform {
  /** Returns null if the row is absent. */
  read (table: string, key: string): Promise<Row | null>
  scan (request: ScanRequest): Promise<Row[]>
  transact (transaction: Transaction): Promise<TransactionResult>
  /** Returns null if the object does not exist. */
  getObject (name: string): Promise<string | null>
  putObject (name: string, text: string): Promise<void>
  listVms (): Promise<VmListEntry[]>
}
