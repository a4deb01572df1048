import type { Row } from './row.ts'

/** Maximum number of rows that are remembered; the oldest is logged again when it is read again. */
const MAX_ROWS = 1_000

/** Rows that were logged because they cannot be read, so that each is logged once until it changes, however often it is read. */
export class LoggedRows {
  /** Version at which each row was logged, by table and key. */
  readonly #versions = new Map<string, number>()

  /** Adds a row that is about to be logged; returns false if it was logged at this version. */
  tryAdd (table: string, { key, version }: Pick<Row, 'key' | 'version'>): boolean {
    const name = `${table}/${key}`
    if (this.#versions.get(name) === version) return false
    this.#versions.delete(name)
    this.#versions.set(name, version)
    const [oldest] = this.#versions.keys()
    if (this.#versions.size > MAX_ROWS) this.#versions.delete(oldest)
    return true
  }
}
