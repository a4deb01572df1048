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

/** A row, and the era of the store when it was read. */
export interface RowWithEra {
  /** Null if the row is absent. */
  row: Row | null
  /** Rises each time the store returns to an older copy and loses later writes; null from a store that states none. */
  era: number | null
}

/** Services of the platform. Every method throws PlatformUnreachableError if no answer arrived; a write may then have taken effect. */
export interface Platform {
  /** Returns null if the row is absent. */
  read (table: string, key: string): Promise<Row | null>
  /** Like `read`, with the era of the store that answered; absent where the store states no era. */
  readWithEra? (table: string, key: string): Promise<RowWithEra>
  scan (request: ScanRequest): Promise<Row[]>
  transact (transaction: Transaction): Promise<TransactionResult>
  /** Returns null if the object does not exist. */
  getObject (name: string): Promise<string | null>
  putObject (name: string, text: string): Promise<void>
  listVms (): Promise<VmListEntry[]>
}
