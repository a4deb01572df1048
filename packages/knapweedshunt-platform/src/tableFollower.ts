import type { Logger } from 'knapweedshunt-logger'
import { createRng, readElapsedMs, runWithTimeout, sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { Backoff } from './backoff.ts'
import type { BackoffOptions } from './backoff.ts'
import { PlatformUnreachableError } from './platformError.ts'
import type { Row } from './row.ts'
import { StoreAvailability } from './storeAvailability.ts'
import type { ChangedRow, TableFeed } from './tableFeed.ts'

/** Options of a table follower. */
export interface TableFollowerOptions {
  table: string
  /** Longest time that the store may hold a poll without changes, in milliseconds. */
  waitMs: number
  /** Timeout of a read, in milliseconds; a poll may take `waitMs` longer. */
  timeoutMs: number
  /** Pause after a poll of the store that returned changes, in milliseconds; further changes in this time are read by one poll. 0 for none. */
  coalesceMs: number
  /** Number of polls with changes in a row, each shorter than the pause, without a pause between them. */
  coalesceAfter: number
  backoff: BackoffOptions
  /** Seed of the jitter of backoff. */
  seed: number
}

/** Defaults of all options but the table. The timeout suits a store that answers in tens of milliseconds, and in a few hundred when it is slow. */
export const DEFAULT_TABLE_FOLLOWER_OPTIONS: Omit<TableFollowerOptions, 'table'> = {
  waitMs: 5_000,
  timeoutMs: 700,
  coalesceMs: 0,
  coalesceAfter: 0,
  backoff: { initialDelayMs: 60, maxDelayMs: 400 },
  seed: 1
}

/** Update that a table follower passes to its listener. */
export type TableUpdate =
  /** All rows of the table; replaces all earlier ones. `storeBackForMs` is the time for which the store has answered again if it did not before, or was restored from a copy: rows that others write may be missing for a while; null without an outage. */
  | { type: 'rows', rows: Row[], storeBackForMs: number | null }
  | { type: 'changes', rows: ChangedRow[] }

/**
 * Follows one table: reads it in full, then polls for changes. After lost history, a new era of the store, a timeout or
 * an error the table is read in full again, so that no change is missed for good.
 */
export class TableFollower {
  readonly #feed: TableFeed
  readonly #options: TableFollowerOptions
  readonly #onUpdate: (update: TableUpdate) => void
  readonly #log: Logger
  readonly #rng: Rng
  readonly #availability: StoreAvailability
  #version: number | null = null
  /** Era of the last answer used; null if the store states none. */
  #era: number | null = null
  /** Whether the store was restored since the last full read. */
  #isRestored = false
  #confirmedAtMs: number | null = null
  /** Time of the first of the calls that failed since the last answer, on the clock of {@link readElapsedMs}; null if the last call was answered. */
  #failingSinceMs: number | null = null
  #refreshAbort = new AbortController()
  /** Polls with changes in a row, each shorter than the pause. */
  #quickPolls = 0

  /** Followers of one store share its availability. */
  constructor (feed: TableFeed, options: TableFollowerOptions, log: Logger, onUpdate: (update: TableUpdate) => void, availability = new StoreAvailability()) {
    this.#feed = feed
    this.#options = options
    this.#log = log
    this.#onUpdate = onUpdate
    this.#availability = availability
    availability.addFollower(this)
    this.#rng = createRng(options.seed)
  }

  /** Age of the data, in milliseconds since the last answered call was sent, on the clock of {@link readElapsedMs}; null before the first answer. */
  get ageMs (): number | null {
    return this.#confirmedAtMs === null ? null : readElapsedMs() - this.#confirmedAtMs
  }

  /** Version and era of the data; null before the first answer, or while the table must be read in full. */
  get position (): { version: number, era: number | null } | null {
    return this.#version === null ? null : { version: this.#version, era: this.#era }
  }

  /** Whether the last call was answered; false before the first answer. */
  get isReachable (): boolean {
    return this.#failingSinceMs === null && this.#confirmedAtMs !== null
  }

  /** Aborts the current poll or pause and reads the table in full at once. */
  refresh (): void {
    this.#version = null
    this.#refreshAbort.abort()
  }

  /** Follows the table until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    let backoff = new Backoff(this.#options.backoff, this.#rng)
    while (!signal.aborted) {
      this.#refreshAbort = new AbortController()
      // A call that was sent while the store did not answer may hang although the store is back.
      const { returnSignal } = this.#availability
      const signals = this.#failingSinceMs !== null ? [signal, this.#refreshAbort.signal, returnSignal] : [signal, this.#refreshAbort.signal]
      try {
        await this.#readOrPoll(signals)
        backoff = new Backoff(this.#options.backoff, this.#rng)
      } catch (error) {
        if (signal.aborted) return
        if (this.#refreshAbort.signal.aborted || (this.#failingSinceMs !== null && returnSignal.aborted)) continue
        this.#recordFailure(error as Error)
        this.#version = null
        await this.#pause(backoff.drawDelay(), [signal, this.#refreshAbort.signal, this.#availability.returnSignal])
      }
    }
  }

  async #readOrPoll (signals: AbortSignal[]): Promise<void> {
    const sentAtMs = readElapsedMs()
    const { table, waitMs, timeoutMs } = this.#options
    if (this.#version === null) {
      const snapshot = await runWithTimeout(timeoutMs, signals, signal => this.#feed.readTable(table, signal))
      this.#checkEra(snapshot.era)
      this.#version = snapshot.version
      const storeBackForMs = this.#findStoreBackForMs()
      this.#isRestored = false
      this.#recordAnswer(sentAtMs, { type: 'rows', rows: snapshot.rows, storeBackForMs })
      return
    }
    const version = this.#version
    const changes = await runWithTimeout(waitMs + timeoutMs, signals, signal => this.#feed.pollChanges(table, version, waitMs, signal))
    if (changes.type === 'historyLost') {
      this.#log.warn('History lost, reading the table anew.', { table, version })
      this.#version = null
      await this.#pause(this.#options.backoff.initialDelayMs, signals)
      return
    }
    if (this.#checkEra(changes.era)) {
      this.#version = null
      return
    }
    this.#version = Math.max(version, changes.version)
    const { relayedAgeMs, sentAfterMs = 0 } = changes
    this.#recordAnswer(sentAtMs + sentAfterMs - (relayedAgeMs ?? 0), changes.rows.length === 0 ? null : { type: 'changes', rows: changes.rows })
    if (changes.rows.length > 0 && relayedAgeMs === undefined) await this.#awaitFurtherChanges(readElapsedMs() - sentAtMs, signals)
  }

  async #awaitFurtherChanges (pollMs: number, signals: AbortSignal[]): Promise<void> {
    const { coalesceMs, coalesceAfter } = this.#options
    if (coalesceMs === 0) return
    this.#quickPolls = pollMs < coalesceMs ? this.#quickPolls + 1 : 1
    if (this.#quickPolls > coalesceAfter) await this.#pause(coalesceMs, signals)
  }

  #findStoreBackForMs (): number | null {
    if (this.#isRestored) return 0
    return this.#failingSinceMs === null ? null : this.#availability.getBackForMs(this.#failingSinceMs)
  }

  /** Whether the store was restored since the last answer. Throws PlatformUnreachableError when the era falls or is missing: such an answer is not from the store that was followed. */
  #checkEra (era: number | null): boolean {
    const knownEra = this.#era
    if (knownEra !== null && (era === null || era < knownEra)) throw new PlatformUnreachableError(`The store states era ${era ?? 'none'} after era ${knownEra}.`)
    this.#era = era
    if (knownEra === null || era === knownEra) return false
    this.#isRestored = true
    this.#log.warn('Store restored from a copy, reading the table anew.', { table: this.#options.table, era, previousEra: knownEra })
    return true
  }

  async #pause (durationMs: number, signals: AbortSignal[]): Promise<void> {
    await runWithTimeout(durationMs + 1, signals, signal => sleep(durationMs, signal))
  }

  #recordAnswer (confirmedAtMs: number, update: TableUpdate | null): void {
    if (this.#failingSinceMs !== null) this.#log.info('Table read again.', { table: this.#options.table })
    this.#failingSinceMs = null
    this.#availability.recordAnswer(this)
    // What another VM has confirmed may be older than what this one knows.
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs ?? -Infinity, confirmedAtMs)
    if (update !== null) this.#deliverUpdate(update)
  }

  /** The table is followed on after a listener has failed. Changes that it could not apply are replaced by one full read. */
  #deliverUpdate (update: TableUpdate): void {
    try {
      this.#onUpdate(update)
    } catch (error) {
      this.#log.error('Update of table not applied.', { table: this.#options.table, update: update.type, rows: update.rows.length, reason: (error as Error).message.split('\n')[0] })
      if (update.type === 'changes') this.#version = null
    }
  }

  #recordFailure (error: Error): void {
    if (this.#failingSinceMs === null) this.#log.warn('Table not read.', { table: this.#options.table, reason: error.message.split('\n')[0], ageMs: Math.round(this.ageMs ?? -1) })
    this.#failingSinceMs ??= readElapsedMs()
    this.#availability.recordFailure(this)
  }
}
