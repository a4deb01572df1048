import type { ChangedRow } from './tableFeed.ts'
import type { TableUpdate } from './tableFollower.ts'

/** Number of deleted rows that are kept; a reader that asks for changes before them reads the whole table. */
const MAX_DELETED_ROWS = 2_000

/** Rows of a followed table with their versions, deleted ones too, from which the changes after a version are known. */
export class TableReplica {
  readonly #rows = new Map<string, ChangedRow>()
  /** Keys of deleted rows, oldest first. */
  readonly #deletedKeys = new Set<string>()
  /** Version after which all changes are known; null before the first full read. */
  #completeAfter: number | null = null
  #newestVersion = 0

  /** Applies an update of the follower, whose data then has this version; `isNewEra` if versions before it do not compare with it. */
  applyUpdate (update: TableUpdate, version: number, isNewEra: boolean): void {
    if (update.type === 'changes') for (const row of update.rows) this.#setRow(row)
    else this.#applySnapshot(update.rows.map(row => ({ ...row, isDeleted: false })), version, isNewEra)
    this.#evictDeleted()
  }

  /** Lists the rows changed after a version, oldest first; null if that is not known any more. */
  listChangesAfter (version: number): ChangedRow[] | null {
    if (this.#completeAfter === null || version < this.#completeAfter) return null
    if (version >= this.#newestVersion) return []
    return [...this.#rows.values()].filter(row => row.version > version).sort((a, b) => a.version - b.version)
  }

  #applySnapshot (rows: ChangedRow[], version: number, isNewEra: boolean): void {
    if (this.#completeAfter === null || isNewEra) {
      this.#rows.clear()
      this.#deletedKeys.clear()
      this.#completeAfter = version
      this.#newestVersion = version
    }
    const presentKeys = new Set(rows.map(row => row.key))
    for (const { key, isDeleted } of this.#rows.values()) if (!isDeleted && !presentKeys.has(key)) this.#setRow({ key, value: null, version, isDeleted: true })
    for (const row of rows) if (this.#rows.get(row.key)?.version !== row.version) this.#setRow(row)
  }

  #setRow (row: ChangedRow): void {
    this.#rows.set(row.key, row)
    this.#newestVersion = Math.max(this.#newestVersion, row.version)
    this.#deletedKeys.delete(row.key)
    if (row.isDeleted) this.#deletedKeys.add(row.key)
  }

  #evictDeleted (): void {
    for (const key of this.#deletedKeys) {
      if (this.#deletedKeys.size <= MAX_DELETED_ROWS) return
      this.#completeAfter = Math.max(this.#completeAfter ?? 0, this.#rows.get(key)?.version ?? 0)
      this.#deletedKeys.delete(key)
      this.#rows.delete(key)
    }
  }
}
