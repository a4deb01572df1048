import type { Logger } from 'knapweedshunt-logger'
import { createRng, readElapsedMs, runWithin, sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { Backoff } from './backoff.ts'
import type { BackoffOptions } from './backoff.ts'
import type { Row } from './row.ts'
import type { ChangedRow, TableFeed } from './tableFeed.ts'

/** Options of a follower; all times in milliseconds. */
export interface FollowerOptions {
  table: string
  /** How long the store may hold a poll that has nothing to tell. */
  waitMs: number
  /** Longest wait for an answer, beyond `waitMs` for a poll. */
  timeoutMs: number
  /** Rest after an answer with changes, so that those that come close together are read at once. */
  restMs: number
  backoff: BackoffOptions
  /** Seed of jitter. */
  seed: number
}

/** Defaults beside the table; time-outs for a store that answers in tens of milliseconds, and in a few hundred when it is slow. */
export const DEFAULT_FOLLOWER_OPTIONS: Omit<FollowerOptions, 'table'> = {
  waitMs: 5_000,
  timeoutMs: 700,
  restMs: 0,
  backoff: { firstMs: 60, maxMs: 400 },
  seed: 1
}

/** What a follower tells. */
export type TableNews =
  /** All rows; replaces what was known. `isReturn` after a time in which the store did not answer. */
  | { type: 'rows', rows: Row[], isReturn: boolean }
  | { type: 'changes', rows: ChangedRow[] }

/**
 * Follows one table: reads it whole, then polls for changes. A lost history, an answer that never comes or an error
 * leads to a whole read, so that nothing missed stays missed.
 */
export class TableFollower {
  readonly #feed: TableFeed
  readonly #options: FollowerOptions
  readonly #onNews: (news: TableNews) => void
  readonly #log: Logger
  readonly #rng: Rng
  #version: number | null = null
  #confirmedAtMs: number | null = null
  #isAway = false
  #hurry = new AbortController()

  constructor (feed: TableFeed, options: FollowerOptions, log: Logger, onNews: (news: TableNews) => void) {
    this.#feed = feed
    this.#options = options
    this.#log = log
    this.#onNews = onNews
    this.#rng = createRng(options.seed)
  }

  /** Age of what is known, in milliseconds by {@link readElapsedMs}; null before the first answer. */
  get ageMs (): number | null {
    return this.#confirmedAtMs === null ? null : readElapsedMs() - this.#confirmedAtMs
  }

  /** Whether the last call was answered. */
  get isAnswering (): boolean {
    return !this.#isAway && this.#confirmedAtMs !== null
  }

  /** Ends the poll or wait under way and reads the table anew at once. */
  refresh (): void {
    this.#version = null
    this.#hurry.abort()
  }

  /** Follows until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    let backoff = new Backoff(this.#options.backoff, this.#rng)
    while (!signal.aborted) {
      this.#hurry = new AbortController()
      const signals = [signal, this.#hurry.signal]
      try {
        await this.#step(signals)
        backoff = new Backoff(this.#options.backoff, this.#rng)
      } catch (error) {
        if (signal.aborted) return
        if (this.#hurry.signal.aborted) continue
        this.#noteAway(error as Error)
        this.#version = null
        await this.#rest(backoff.drawDelay(), signals)
      }
    }
  }

  async #step (signals: AbortSignal[]): Promise<void> {
    const sentAtMs = readElapsedMs()
    const { table, waitMs, timeoutMs } = this.#options
    if (this.#version === null) {
      const snapshot = await runWithin(timeoutMs, signals, signal => this.#feed.readTable(table, signal))
      this.#version = snapshot.version
      this.#noteAnswer(sentAtMs, { type: 'rows', rows: snapshot.rows, isReturn: this.#isAway })
      return
    }
    const version = this.#version
    const changes = await runWithin(waitMs + timeoutMs, signals, signal => this.#feed.pollChanges(table, version, waitMs, signal))
    if (changes.type === 'historyLost') {
      this.#log.warn('History lost, reading the table anew.', { table, version })
      this.#version = null
      await this.#rest(this.#options.backoff.firstMs, signals)
      return
    }
    this.#version = Math.max(version, changes.version)
    this.#noteAnswer(sentAtMs, changes.rows.length === 0 ? null : { type: 'changes', rows: changes.rows })
    if (changes.rows.length > 0 && this.#options.restMs > 0) await this.#rest(this.#options.restMs, signals)
  }

  async #rest (ms: number, signals: AbortSignal[]): Promise<void> {
    await runWithin(ms + 1, signals, signal => sleep(ms, signal))
  }

  #noteAnswer (sentAtMs: number, news: TableNews | null): void {
    if (this.#isAway) this.#log.info('Table read again.', { table: this.#options.table })
    this.#isAway = false
    this.#confirmedAtMs = sentAtMs
    if (news !== null) this.#onNews(news)
  }

  #noteAway (error: Error): void {
    if (!this.#isAway) this.#log.warn('Table not read.', { table: this.#options.table, reason: error.message.split('\n')[0], ageMs: Math.round(this.ageMs ?? -1) })
    this.#isAway = true
  }
}
