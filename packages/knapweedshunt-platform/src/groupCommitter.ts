import type { Platform } from './platform.ts'
import { PlatformRefusedError } from './platformError.ts'
import type { Row } from './row.ts'
import type { RowChange, RowChangeResult } from './rowChange.ts'
import type { Transaction } from './transaction.ts'

/** Bounds of group commit. */
export interface GroupOptions {
  /** Most changes in one transaction. */
  maxChanges: number
  /** Most transactions in flight. */
  maxInFlight: number
}

/** One transaction in flight while the next gathers. */
export const DEFAULT_GROUP_OPTIONS: GroupOptions = { maxChanges: 256, maxInFlight: 1 }

interface Waiting {
  change: RowChange
  dueAtMs: number
  resolve (result: RowChangeResult): void
  reject (error: unknown): void
}

/** Commits independent row changes of many callers in few transactions. */
export class GroupCommitter {
  readonly #platform: Platform
  readonly #options: GroupOptions
  #queue: Waiting[] = []
  #inFlight = 0
  #timer: ReturnType<typeof setTimeout> | undefined

  constructor (platform: Platform, options: GroupOptions = DEFAULT_GROUP_OPTIONS) {
    this.#platform = platform
    this.#options = options
  }

  /** Commits the change, with others; it may wait up to `lingerMs` for company. Throws what the platform throws. */
  commit (change: RowChange, lingerMs: number): Promise<RowChangeResult> {
    return new Promise((resolve, reject) => {
      this.#queue.push({ change, dueAtMs: performance.now() + lingerMs, resolve, reject })
      this.#startNext()
    })
  }

  #startNext (): void {
    clearTimeout(this.#timer)
    if (this.#queue.length === 0 || this.#inFlight >= this.#options.maxInFlight) return
    const waitMs = Math.min(...this.#queue.map(waiting => waiting.dueAtMs)) - performance.now()
    if (waitMs > 0 && this.#queue.length < this.#options.maxChanges) {
      this.#timer = setTimeout(() => this.#startNext(), Math.ceil(waitMs))
      return
    }
    this.#inFlight++
    this.#commitGroup(this.#cutGroup()).finally(() => {
      this.#inFlight--
      this.#startNext()
    })
  }

  /** A row may stand once in a transaction: a second change of it waits for the next one. */
  #cutGroup (): Waiting[] {
    const group = new Map<string, Waiting>()
    const rest: Waiting[] = []
    for (const waiting of this.#queue) {
      const name = nameRow(waiting.change)
      if (group.size >= this.#options.maxChanges || group.has(name)) rest.push(waiting)
      else group.set(name, waiting)
    }
    this.#queue = rest
    return [...group.values()]
  }

  /** One failed check fails the transaction: its row is answered from the conflict, and the others are sent again. */
  async #commitGroup (group: Waiting[]): Promise<void> {
    let open = group
    try {
      while (open.length > 0) {
        const result = await this.#platform.transact(buildTransaction(open))
        if (result.type === 'committed') return open.forEach(waiting => waiting.resolve(result))
        const rows = new Map(result.rows.map(row => [nameRow(row), row]))
        const failed = open.filter(waiting => rows.has(nameRow(waiting.change)))
        for (const waiting of failed) waiting.resolve({ type: 'conflict', row: convertRow(rows.get(nameRow(waiting.change))) })
        open = open.filter(waiting => !failed.includes(waiting))
        if (failed.length === 0) throw new PlatformRefusedError('The platform reported a conflict without its rows.')
      }
    } catch (error) {
      if (error instanceof PlatformRefusedError && open.length > 1) return this.#commitHalves(open)
      for (const waiting of open) waiting.reject(error)
    }
  }

  /** Finds the malformed change of a refused transaction without failing the others. */
  async #commitHalves (group: Waiting[]): Promise<void> {
    const middle = group.length >> 1
    await this.#commitGroup(group.slice(0, middle))
    await this.#commitGroup(group.slice(middle))
  }
}

function nameRow ({ table, key }: { table: string, key: string }): string {
  return `${table}/${key}`
}

function convertRow (row: Row | undefined): Row | null {
  return row === undefined || row.version === 0 ? null : { key: row.key, version: row.version, value: row.value }
}

function buildTransaction (group: Waiting[]): Transaction {
  const changes = group.map(waiting => waiting.change)
  return {
    checks: changes.map(({ table, key, version }) => ({ table, key, version })),
    writes: changes.map(({ table, key, value }) => value === null ? { type: 'delete', table, key } : { type: 'put', table, key, value })
  }
}
