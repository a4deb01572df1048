import { LoggedRows } from 'knapweedshunt-platform'
import type { Row } from 'knapweedshunt-platform'
import type { DecisionLog } from './decisionLog.ts'

/** Longest reason that is logged, in characters; it may quote keys of the row. */
const MAX_REASON_LENGTH = 200

/** Logs rows that cannot be read, each once until it changes. */
export class UnreadableRowLog {
  readonly #decisionLog: DecisionLog
  readonly #loggedRows = new LoggedRows()

  constructor (decisionLog: DecisionLog) {
    this.#decisionLog = decisionLog
  }

  /** Logs why a row cannot be read, unless that was logged for this version of it. */
  record (table: string, row: Row, reason: string): void {
    if (this.#loggedRows.tryAdd(table, row)) this.#decisionLog.record({ type: 'rowUnreadable', table, key: row.key, reason: reason.slice(0, MAX_REASON_LENGTH) })
  }
}
