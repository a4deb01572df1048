import type { Row } from 'knapweedshunt-platform'
import type { DecisionLog } from './decisionLog.ts'

/** Maximum number of rows that are remembered as logged; the oldest is logged again when it is read again. */
const MAX_LOGGED_ROWS = 1_000

/** Longest reason that is logged, in characters; it may quote keys of the row. */
const MAX_REASON_LENGTH = 200

/** Logs rows that cannot be read, each once until it changes, however often it is read. */
export class UnreadableRowLog {
  readonly #decisionLog: DecisionLog
  /** Version at which each row was logged, by table and key. */
  readonly #loggedVersions = new Map<string, number>()

  constructor (decisionLog: DecisionLog) {
    this.#decisionLog = decisionLog
  }

  /** Logs why a row cannot be read, unless that was logged for this version of it. */
  record (table: string, { key, version }: Row, reason: string): void {
    const name = `${table}/${key}`
    if (this.#loggedVersions.get(name) === version) return
    this.#loggedVersions.delete(name)
    this.#loggedVersions.set(name, version)
    const [oldest] = this.#loggedVersions.keys()
    if (this.#loggedVersions.size > MAX_LOGGED_ROWS) this.#loggedVersions.delete(oldest)
    this.#decisionLog.record({ type: 'rowUnreadable', table, key, reason: reason.slice(0, MAX_REASON_LENGTH) })
  }
}
