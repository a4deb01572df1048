import { isDeepStrictEqual } from 'node:util'
import type { Platform, Row, TransactionWrite } from 'knapweedshunt-platform'
import { sleep } from 'knapweedshunt-utils'

/** Time for which changes are batched before rows are written, in milliseconds: a crash marks all requests that were in flight at the endpoint. */
const BATCH_MS = 20

/** Pause after a failed write, and minimum time between two writes of rows that the store has lost, in milliseconds. */
const REWRITE_INTERVAL_MS = 500

/** Dependencies of {@link OwnedRows}. */
export interface OwnedRowsDependencies {
  platform: Platform
  table: string
  /** Ends all writes. */
  signal: AbortSignal
  /** Called after each failed write with the keys of the rows. */
  onUnwritten (keys: string[], reason: string): void
}

/**
 * Rows of one table that only this VM writes. Each is written until the store accepts it, and again when the store shows
 * that it has lost the row or has an older one: a write can fail, be carried out late, or be undone by a store that is
 * restored from a copy.
 */
export class OwnedRows {
  readonly #dependencies: OwnedRowsDependencies
  readonly #rows = new Map<string, object>()
  readonly #unwrittenKeys = new Set<string>()
  #isWriting = false
  #rewrittenAtMs = -Infinity

  constructor (dependencies: OwnedRowsDependencies) {
    this.#dependencies = dependencies
  }

  /** Sets the value of a row, which is written soon. */
  put (key: string, value: object): void {
    this.#rows.set(key, value)
    this.#scheduleWrite([key], BATCH_MS)
  }

  /** Compares the rows with a full read of the table. */
  reconcileSnapshot (rows: Row[]): void {
    const stored = new Map(rows.map(row => [row.key, row.value]))
    this.#rewrite([...this.#rows].filter(([key, value]) => !isDeepStrictEqual(stored.get(key), value)).map(([key]) => key))
  }

  /** Compares a row with a change of the table; `value` is null if it was deleted. */
  reconcileRow (key: string, value: unknown): void {
    if (this.#rows.has(key) && !isDeepStrictEqual(this.#rows.get(key), value)) this.#rewrite([key])
  }

  #rewrite (keys: string[]): void {
    const lostKeys = keys.filter(key => !this.#unwrittenKeys.has(key))
    if (lostKeys.length === 0) return
    const delayMs = Math.max(BATCH_MS, this.#rewrittenAtMs + REWRITE_INTERVAL_MS - performance.now())
    this.#rewrittenAtMs = performance.now() + delayMs
    this.#scheduleWrite(lostKeys, delayMs)
  }

  #scheduleWrite (keys: string[], delayMs: number): void {
    for (const key of keys) this.#unwrittenKeys.add(key)
    if (this.#isWriting) return
    this.#isWriting = true
    this.#writeUntilDone(delayMs).catch(() => {}) // Failed writes are reported by onUnwritten.
  }

  async #writeUntilDone (delayMs: number): Promise<void> {
    const { signal } = this.#dependencies
    await sleep(delayMs, signal)
    while (this.#unwrittenKeys.size > 0 && !signal.aborted) {
      const isWritten = await this.#write([...this.#unwrittenKeys])
      await sleep(isWritten ? BATCH_MS : REWRITE_INTERVAL_MS, signal)
    }
    this.#isWriting = false
  }

  async #write (keys: string[]): Promise<boolean> {
    const { platform, table, onUnwritten } = this.#dependencies
    for (const key of keys) this.#unwrittenKeys.delete(key)
    const writes = keys.map((key): TransactionWrite => ({ type: 'put', table, key, value: this.#rows.get(key) }))
    try {
      await platform.transact({ checks: [], writes })
      return true
    } catch (error) {
      for (const key of keys) this.#unwrittenKeys.add(key)
      onUnwritten(keys, (error as Error).message)
      return false
    }
  }
}
