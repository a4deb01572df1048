import type { ChangedRow, Row, ScanRequest, Transaction, TransactionCheck, TransactionResult } from 'knapweedshunt-platform'

/** Copy of all tables at one moment, as taken by {@link MemoryTables.copy}. */
export interface TablesCopy {
  rows: Map<string, Map<string, ChangedRow>>
  version: number
}

/** In-memory tables whose transactions check expected row versions. Versions of deleted rows are not reused. */
export class MemoryTables {
  #rows = new Map<string, Map<string, ChangedRow>>()
  #lastVersion = 0
  #era = 1
  readonly #listeners = new Set<() => void>()

  /** Version of the last change in any table. */
  get version (): number {
    return this.#lastVersion
  }

  /** Rises by one with each {@link restore}. */
  get era (): number {
    return this.#era
  }

  /** Returns the row, or null when there is none. */
  read (table: string, key: string): Row | null {
    const row = this.#rows.get(table)?.get(key)
    return row === undefined || row.isDeleted ? null : convertToRow(row)
  }

  /** Lists rows in key order, after the key `after` and up to `limit`. */
  scan (request: ScanRequest): Row[] {
    const rows = [...this.#rows.get(request.table)?.values() ?? []].filter(row => !row.isDeleted)
    return rows
      .filter(row => row.key > (request.after ?? '') && row.key.startsWith(request.prefix ?? ''))
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(0, request.limit)
      .map(convertToRow)
  }

  /** Lists the rows of a table that changed after a version, oldest change first; deleted rows included. */
  listChanges (table: string, afterVersion: number): ChangedRow[] {
    return [...this.#rows.get(table)?.values() ?? []].filter(row => row.version > afterVersion).sort((a, b) => a.version - b.version)
  }

  /** Applies all writes if all version checks hold; otherwise applies none and returns the current rows of the failed checks. */
  transact (transaction: Transaction): TransactionResult {
    const failedChecks = transaction.checks.filter(check => this.#readVersion(check) !== check.version)
    if (failedChecks.length > 0) return { type: 'conflict', rows: failedChecks.map(check => this.#readCurrentRow(check)) }
    for (const write of transaction.writes) {
      const isDeleted = write.type === 'delete'
      this.#getOrCreateTable(write.table).set(write.key, { key: write.key, version: ++this.#lastVersion, value: isDeleted ? null : structuredClone(write.value), isDeleted })
    }
    this.#notifyListeners()
    return { type: 'committed' }
  }

  /** Calls the listener after each change until the returned function is called. */
  watch (listener: () => void): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  /** Copies all tables. */
  copy (): TablesCopy {
    return { rows: structuredClone(this.#rows), version: this.#lastVersion }
  }

  /** Replaces all tables with an earlier copy. Later changes are lost, and their versions are given out again. */
  restore (copy: TablesCopy): void {
    this.#rows = structuredClone(copy.rows)
    this.#lastVersion = copy.version
    this.#era++
    this.#notifyListeners()
  }

  #notifyListeners (): void {
    for (const listener of [...this.#listeners]) listener()
  }

  #getOrCreateTable (name: string): Map<string, ChangedRow> {
    const table = this.#rows.get(name) ?? new Map<string, ChangedRow>()
    this.#rows.set(name, table)
    return table
  }

  #readVersion (check: TransactionCheck): number {
    return this.read(check.table, check.key)?.version ?? 0
  }

  #readCurrentRow (check: TransactionCheck): Row & { table: string } {
    const row = this.read(check.table, check.key) ?? { key: check.key, version: 0, value: null }
    return { ...row, table: check.table }
  }
}

function convertToRow ({ key, version, value }: ChangedRow): Row {
  return { key, version, value }
}
