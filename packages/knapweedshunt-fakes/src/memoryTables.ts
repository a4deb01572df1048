import type { Row, ScanRequest, Transaction, TransactionCheck, TransactionResult } from 'knapweedshunt-platform'

/** In-memory tables whose transactions check expected row versions. Versions of deleted rows are not reused. */
export class MemoryTables {
  readonly #rows = new Map<string, Map<string, Row>>()
  #lastVersion = 0

  /** Returns the row, or null when there is none. */
  read (table: string, key: string): Row | null {
    return this.#rows.get(table)?.get(key) ?? null
  }

  /** Lists rows in key order, after the key `after` and up to `limit`. */
  scan (request: ScanRequest): Row[] {
    const rows = [...this.#rows.get(request.table)?.values() ?? []]
    return rows
      .filter(row => row.key > (request.after ?? '') && row.key.startsWith(request.prefix ?? ''))
      .sort((a, b) => a.key < b.key ? -1 : 1)
      .slice(0, request.limit)
  }

  /** Applies all writes if all version checks hold; otherwise applies none and returns the current rows of the failed checks. */
  transact (transaction: Transaction): TransactionResult {
    const failedChecks = transaction.checks.filter(check => this.#readVersion(check) !== check.version)
    if (failedChecks.length > 0) return { type: 'conflict', rows: failedChecks.map(check => this.#readCurrentRow(check)) }
    for (const write of transaction.writes) {
      const table = this.#getOrCreateTable(write.table)
      if (write.type === 'delete') table.delete(write.key)
      else table.set(write.key, { key: write.key, version: ++this.#lastVersion, value: structuredClone(write.value) })
    }
    return { type: 'committed' }
  }

  #getOrCreateTable (name: string): Map<string, Row> {
    const table = this.#rows.get(name) ?? new Map<string, Row>()
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
