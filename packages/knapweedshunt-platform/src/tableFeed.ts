import type { Row } from './row.ts'

/** Consistent snapshot of all rows of a table. */
export interface TableSnapshot {
  rows: Row[]
  /** Version of the store at the time of the snapshot; pass it to `pollChanges` for what came after. */
  version: number
  /** Era of the store; see {@link TableFeed}. Null from a store that states none. */
  era: number | null
}

/** Changed row; if `isDeleted` is true, the row was deleted and its value is null. */
export interface ChangedRow extends Row {
  isDeleted: boolean
}

/** Changes of a table after a version. */
export type TableChanges =
  /** `relayedAgeMs` is the time since the store confirmed the table, in milliseconds, when another VM answered; absent from the store itself. `sentAfterMs` is the time after the start of the call at which it had that age, or was sent to the store; 0 if absent. */
  | { type: 'changes', rows: ChangedRow[], version: number, era: number | null, relayedAgeMs?: number, sentAfterMs?: number }
  /** The store has discarded part of the history after that version; the table must be read in full. */
  | { type: 'historyLost' }

/**
 * Snapshot and change feed of tables. The era rises by one each time the store is restored from a copy: later writes are
 * lost then, and their versions are given out again, so versions of different eras must not be compared. Every method throws PlatformUnreachableError if no
 * answer arrived.
 */
export interface TableFeed {
  readTable (table: string, signal: AbortSignal): Promise<TableSnapshot>
  /** Long poll: resolves as soon as there is a change after `afterVersion`, or after `waitMs` with no rows. */
  pollChanges (table: string, afterVersion: number, waitMs: number, signal: AbortSignal): Promise<TableChanges>
}
