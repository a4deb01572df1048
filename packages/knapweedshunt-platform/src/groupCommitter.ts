import type { Platform } from './platform.ts'
import { PlatformRefusedError } from './platformError.ts'
import type { Row } from './row.ts'
import type { RowChange, RowChangeResult } from './rowChange.ts'
import type { Transaction } from './transaction.ts'

/** Limits of group commit. */
export interface GroupCommitOptions {
  /** Maximum number of changes in one transaction. */
  maxChanges: number
  /** Maximum number of transactions in flight. */
  maxInFlight: number
}

/** One transaction in flight at a time; changes that arrive meanwhile are batched into the next one. */
export const DEFAULT_GROUP_COMMIT_OPTIONS: GroupCommitOptions = { maxChanges: 256, maxInFlight: 1 }

interface PendingChange {
  change: RowChange
  commitByMs: number
  resolve (result: RowChangeResult): void
  reject (error: unknown): void
}

/** Batches independent row changes of concurrent callers into few transactions (group commit); each caller gets the result of its own change. */
export class GroupCommitter {
  readonly #platform: Platform
  readonly #options: GroupCommitOptions
  #queue: PendingChange[] = []
  #inFlight = 0
  #timer: ReturnType<typeof setTimeout> | undefined

  constructor (platform: Platform, options: GroupCommitOptions = DEFAULT_GROUP_COMMIT_OPTIONS) {
    this.#platform = platform
    this.#options = options
  }

  /** Commits the change together with others; waits up to `lingerMs` for more changes unless the batch is full. Rejects with the error of the platform. */
  commit (change: RowChange, lingerMs: number): Promise<RowChangeResult> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ change, commitByMs: performance.now() + lingerMs, resolve, reject })
      this.#commitNext()
    })
  }

  #commitNext (): void {
    clearTimeout(this.#timer)
    if (this.#queue.length === 0 || this.#inFlight >= this.#options.maxInFlight) return
    const waitMs = Math.min(...this.#queue.map(pending => pending.commitByMs)) - performance.now()
    if (waitMs > 0 && this.#queue.length < this.#options.maxChanges) {
      this.#timer = setTimeout(() => this.#commitNext(), Math.ceil(waitMs))
      return
    }
    this.#inFlight++
    this.#commitGroup(this.#dequeueGroup()).finally(() => {
      this.#inFlight--
      this.#commitNext()
    })
  }

  /** Removes the next batch from the queue. A transaction may hold one change per row: a second change of a row waits for the next transaction. */
  #dequeueGroup (): PendingChange[] {
    const group = new Map<string, PendingChange>()
    const deferred: PendingChange[] = []
    for (const pending of this.#queue) {
      const rowKey = buildRowKey(pending.change)
      if (group.size >= this.#options.maxChanges || group.has(rowKey)) deferred.push(pending)
      else group.set(rowKey, pending)
    }
    this.#queue = deferred
    return [...group.values()]
  }

  /** Commits a batch. One failed check fails the whole transaction: changes whose check failed resolve as conflicts, and the rest is sent again. */
  async #commitGroup (group: PendingChange[]): Promise<void> {
    let remaining = group
    try {
      while (remaining.length > 0) {
        const result = await this.#platform.transact(buildTransaction(remaining))
        if (result.type === 'committed') return remaining.forEach(pending => pending.resolve(result))
        const conflictingRows = new Map(result.rows.map(row => [buildRowKey(row), row]))
        const conflicting = remaining.filter(pending => conflictingRows.has(buildRowKey(pending.change)))
        for (const pending of conflicting) pending.resolve({ type: 'conflict', row: convertRow(conflictingRows.get(buildRowKey(pending.change))) })
        remaining = remaining.filter(pending => !conflicting.includes(pending))
        if (conflicting.length === 0) throw new PlatformRefusedError('Platform reported a conflict, but none of its rows is in the transaction.')
      }
    } catch (error) {
      if (error instanceof PlatformRefusedError && remaining.length > 1) return this.#commitHalves(remaining)
      for (const pending of remaining) pending.reject(error)
    }
  }

  /** Bisects a refused transaction, so that only the malformed change is rejected and the others get their own results. */
  async #commitHalves (group: PendingChange[]): Promise<void> {
    const middle = group.length >> 1
    await this.#commitGroup(group.slice(0, middle))
    await this.#commitGroup(group.slice(middle))
  }
}

function buildRowKey ({ table, key }: { table: string, key: string }): string {
  return `${table}/${key}`
}

function convertRow (row: Row | undefined): Row | null {
  return row === undefined || row.version === 0 ? null : { key: row.key, version: row.version, value: row.value }
}

function buildTransaction (group: PendingChange[]): Transaction {
  const changes = group.map(pending => pending.change)
  return {
    checks: changes.map(({ table, key, version }) => ({ table, key, version })),
    writes: changes.map(({ table, key, value }) => value === null ? { type: 'delete', table, key } : { type: 'put', table, key, value })
  }
}
