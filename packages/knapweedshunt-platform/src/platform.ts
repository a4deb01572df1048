import type { VmListEntry } from 'knapweedshunt-types'
import type { Row } from './row.ts'
import type { Transaction, TransactionResult } from './transaction.ts'

/** A range scan in key order. */
export interface ScanRequest {
  table: string
  /** Only keys greater than this one. */
  after?: string
  prefix?: string
  limit: number
}

/** The platform's services. Every method throws PlatformUnreachableError when no answer came. */
export interface Platform {
  read (table: string, key: string): Promise<Row | null>
  scan (request: ScanRequest): Promise<Row[]>
  transact (transaction: Transaction): Promise<TransactionResult>
  /** Null when there is no such object. */
  getObject (name: string): Promise<string | null>
  putObject (name: string, text: string): Promise<void>
  listVms (): Promise<VmListEntry[]>
}
