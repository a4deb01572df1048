import type { Row } from './row.ts'

/** All rows of a table at one moment. */
export interface TableSnapshot {
  rows: Row[]
  /** Version of the store at that moment; changes are followed from here. */
  version: number
}

/** A changed row; null value with `isDeleted` for a row that is gone. */
export interface ChangedRow extends Row {
  isDeleted: boolean
}

/** What happened to a table after a version. */
export type TableChanges =
  | { type: 'changes', rows: ChangedRow[], version: number }
  /** The store no longer holds the history from that version on. */
  | { type: 'historyLost' }

/** Tables that can be followed. Every method throws PlatformUnreachableError when no answer came. */
export interface TableFeed {
  readTable (table: string, signal: AbortSignal): Promise<TableSnapshot>
  /** Answers as soon as there is a change after the version, or after `waitMs` with none. */
  pollChanges (table: string, afterVersion: number, waitMs: number, signal: AbortSignal): Promise<TableChanges>
}
