import type { VmId } from 'knapweedshunt-types'
import { runWithTimeout, sleep, startTimeout } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { PlatformUnreachableError } from './platformError.ts'
import { sharedPollResultSchema } from './sharedTableMessages.ts'
import type { SharedTableAnswer, SharedTablePosition } from './sharedTableMessages.ts'
import type { TableChanges, TableFeed } from './tableFeed.ts'

/** Time for which polls are gathered that one message carries, in milliseconds. */
const GATHER_MS = 3

/** Minimum time between two messages of which the first brought changes, in milliseconds: in a burst each change would otherwise be a message to each VM. */
const MIN_CHANGES_INTERVAL_MS = 200

/** Shortest time for which the store holds a poll after another VM gave no answer, in milliseconds; else it is what is left of the poll's time. */
const MIN_FALLBACK_WAIT_MS = 300

/** Shortest timeout of a call to another VM, in milliseconds: both may lack processor time. */
const MIN_CALL_TIMEOUT_MS = 600

/** Longest delay before a poll of the store after that, in milliseconds: all VMs that lost the same reader go to the store. */
const MAX_FALLBACK_DELAY_MS = 100

/** Longest time that a poll of the store may be held, in milliseconds; those who poll give up far earlier. */
const MAX_POLL_MS = 60_000

/** Number of VMs that one poll asks, and time after which it asks no further one, in milliseconds. */
const MAX_READERS_ASKED = 3
const MAX_ASKING_MS = 1_100

/** Reason for which a poll ends when this VM begins to read for others. */
const READING_STARTED = new Error('This VM is asked for the table.')

/** Options of {@link SharedTableFeed}. */
export interface SharedTableFeedOptions {
  /** Longest time that another VM may hold a poll without changes, in milliseconds. */
  peerWaitMs: number
  /** Longest time that the store may hold a poll of a VM that others may ask, in milliseconds; the others' data is older by up to twice this time. */
  readerWaitMs: number
  /** Time that an answer of another VM may take beyond the time for which it holds the poll, in milliseconds. */
  answerTimeoutMs: number
}

/** Defaults. A VM that others ask and that stops, is cut off or stands still is noticed within `peerWaitMs` and `answerTimeoutMs`, or within `readerWaitMs`. */
export const DEFAULT_SHARED_TABLE_FEED_OPTIONS: SharedTableFeedOptions = { peerWaitMs: 1_000, readerWaitMs: 600, answerTimeoutMs: 250 }

/** Whether a VM that was asked answered; `refused` if it said at once that it cannot, `silent` if no usable answer came. */
export type TableReaderOutcome =
  | { type: 'answered' }
  | { type: 'refused' | 'silent', reason: string }

/** Another VM that reads the tables from the store. */
export interface TableReaderPort {
  /** Name of the VM. */
  vm: VmId
  /** Sends a poll and resolves to its result, unchecked. Throws when there is no answer in time. */
  ask (params: { tables: SharedTablePosition[], waitMs: number }): Promise<unknown>
  recordOutcome (outcome: TableReaderOutcome): void
}

/** Which of the VMs that may read the tables from the store this one asks. */
export type TableSource =
  | { type: 'store', hasFollowers: boolean }
  | { type: 'reader', reader: TableReaderPort }

interface Batch {
  readonly reader: TableReaderPort
  readonly positions: SharedTablePosition[]
  readonly result: Promise<BatchResult>
}

interface BatchResult {
  answers: Map<string, SharedTableAnswer>
  /** Monotonic time at which the answers were not older than they say. */
  answeredAtMs: number
}

/**
 * Feed of tables that a few VMs read from the store and hand on to the others (a relay tree of depth one), so that calls
 * to the store do not grow with the number of VMs. A VM goes to the store itself whenever the one that it asks does not
 * answer, has old data, or does not know what changed; whole tables are always read from the store.
 */
export class SharedTableFeed implements TableFeed {
  readonly #feed: TableFeed
  readonly #selectSource: () => TableSource
  readonly #rng: Rng
  readonly #options: SharedTableFeedOptions
  readonly #eras = new Map<string, number | null>()
  /** Tables whose last answer came from the store. */
  readonly #readTables = new Set<string>()
  #batch: Batch | null = null
  /** Monotonic time of the last answer with changes. */
  #changedAtMs = -Infinity
  #readingController = new AbortController()

  /** `rng` spreads the calls of VMs that lost the same reader. */
  constructor (feed: TableFeed, selectSource: () => TableSource, rng: Rng, options: SharedTableFeedOptions = DEFAULT_SHARED_TABLE_FEED_OPTIONS) {
    this.#feed = feed
    this.#selectSource = selectSource
    this.#rng = rng
    this.#options = options
  }

  /** Whether this VM reads the table from the store, as far as its last answer goes. */
  isReadFromStore (table: string): boolean {
    return this.#readTables.has(table)
  }

  /** Has the store confirm all tables at once, as other VMs ask this one from now on. */
  startReading (): void {
    const controller = this.#readingController
    this.#readingController = new AbortController()
    controller.abort(READING_STARTED)
  }

  /** Reads the whole table from the store. */
  readonly readTable: TableFeed['readTable'] = async (table, signal) => {
    const snapshot = await this.#feed.readTable(table, signal)
    this.#recordStoreAnswer(table, snapshot.era)
    return snapshot
  }

  readonly pollChanges: TableFeed['pollChanges'] = async (table, afterVersion, waitMs, signal) => {
    const startedAtMs = performance.now()
    const { signal: readingSignal } = this.#readingController
    for (let tries = 1; tries <= MAX_READERS_ASKED && performance.now() - startedAtMs < MAX_ASKING_MS; tries++) {
      const source = this.#selectSource()
      if (source.type === 'store') return await this.#pollStore(table, afterVersion, source.hasFollowers ? Math.min(waitMs, this.#options.readerWaitMs) : waitMs, startedAtMs, signal)
      const result = await this.#askReader(source.reader, { table, afterVersion, era: this.#eras.get(table) ?? null }, startedAtMs, [signal, readingSignal])
      if (signal.aborted) throw new PlatformUnreachableError('The poll was given up.', { cause: signal.reason })
      if (readingSignal.aborted) return await this.#pollStore(table, afterVersion, 0, startedAtMs, signal)
      const answer = result?.answers.get(table)
      if (answer?.type === 'unavailable' && !answer.mustLeave) break
      if (result === null || answer?.type !== 'changes') continue
      this.#readTables.delete(table)
      const { rows, version, era, ageMs } = answer
      return { type: 'changes', rows: rows.map(row => ({ ...row, value: row.value })), version, era, relayedAgeMs: ageMs, sentAfterMs: result.answeredAtMs - startedAtMs }
    }
    await sleep(this.#rng.drawFloat() * MAX_FALLBACK_DELAY_MS, signal)
    return await this.#pollStore(table, afterVersion, waitMs, startedAtMs, signal)
  }

  /** A long poll ends when this VM begins to read for others. */
  async #pollStore (table: string, afterVersion: number, waitMs: number, startedAtMs: number, signal: AbortSignal): Promise<TableChanges> {
    const { signal: readingSignal } = this.#readingController
    const poll = async (heldMs: number, signals: AbortSignal[]): Promise<TableChanges> => {
      const sentAfterMs = performance.now() - startedAtMs
      const changes = await runWithTimeout(MAX_POLL_MS, signals, joined => this.#feed.pollChanges(table, afterVersion, heldMs, joined))
      return changes.type === 'changes' ? { ...changes, sentAfterMs } : changes
    }
    const leftMs = Math.floor(startedAtMs + waitMs - performance.now())
    const changes = await poll(Math.min(waitMs, Math.max(MIN_FALLBACK_WAIT_MS, leftMs)), [signal, readingSignal]).catch(async (error: unknown) => {
      if (signal.aborted || !readingSignal.aborted) throw error
      return await poll(0, [signal])
    })
    if (changes.type === 'changes') this.#recordStoreAnswer(table, changes.era)
    return changes
  }

  #recordStoreAnswer (table: string, era: number | null): void {
    this.#eras.set(table, era)
    this.#readTables.add(table)
  }

  /** Null when the poll is given up. */
  async #askReader (reader: TableReaderPort, position: SharedTablePosition, startedAtMs: number, signals: AbortSignal[]): Promise<BatchResult | null> {
    const batch = this.#batch?.reader.vm === reader.vm ? this.#batch : this.#openBatch(reader, startedAtMs)
    this.#batch = batch
    batch.positions.push(position)
    return await raceSignals(batch.result, signals)
  }

  #openBatch (reader: TableReaderPort, startedAtMs: number): Batch {
    const positions: SharedTablePosition[] = []
    return { reader, positions, result: this.#sendBatch(reader, positions, startedAtMs) }
  }

  /** All polls of this VM end at the same times, so that one message carries the next ones, and none takes longer because several VMs were asked. */
  #computeWaitMs (startedAtMs: number): number {
    const { peerWaitMs } = this.#options
    const nowMs = performance.now()
    const leftMs = startedAtMs + GATHER_MS + MIN_CHANGES_INTERVAL_MS + peerWaitMs - nowMs
    return Math.ceil(Math.max(0, Math.min(leftMs, peerWaitMs - nowMs % peerWaitMs)))
  }

  async #sendBatch (reader: TableReaderPort, positions: SharedTablePosition[], startedAtMs: number): Promise<BatchResult> {
    await sleep(Math.max(GATHER_MS, this.#changedAtMs + MIN_CHANGES_INTERVAL_MS - performance.now()))
    this.#batch = null
    const sentAtMs = performance.now()
    const waitMs = this.#computeWaitMs(startedAtMs)
    try {
      const { tables, heldMs = 0 } = sharedPollResultSchema.parse(await this.#callReader(reader, positions, waitMs))
      if (tables.some(answer => answer.type === 'changes' && answer.rows.length > 0)) this.#changedAtMs = performance.now()
      const leaving = tables.find(answer => answer.type === 'unavailable' && answer.mustLeave)
      reader.recordOutcome(leaving?.type === 'unavailable' ? { type: 'refused', reason: leaving.reason } : { type: 'answered' })
      return { answers: new Map(tables.map(answer => [answer.table, answer])), answeredAtMs: Math.min(performance.now(), sentAtMs + heldMs) }
    } catch (error) {
      reader.recordOutcome({ type: 'silent', reason: (error as Error).message.split('\n')[0] })
      return { answers: new Map(), answeredAtMs: sentAtMs }
    }
  }

  /** Gives up before the call does if the other VM may hold the poll for a short time only. */
  async #callReader (reader: TableReaderPort, tables: SharedTablePosition[], waitMs: number): Promise<unknown> {
    return await new Promise((resolve, reject) => {
      const timeoutMs = Math.max(MIN_CALL_TIMEOUT_MS, waitMs + this.#options.answerTimeoutMs)
      const stopTimeout = startTimeout(timeoutMs, () => reject(new Error(`no answer within ${Math.round(timeoutMs)} ms`)))
      reader.ask({ tables, waitMs }).then(resolve, reject).finally(stopTimeout)
    })
  }
}

/** Resolves to null once a signal aborts. Signals that only end a wait would cost an error object each. */
async function raceSignals<T> (result: Promise<T>, signals: AbortSignal[]): Promise<T | null> {
  let giveUp = (): void => {}
  const givenUp = new Promise<null>(resolve => { giveUp = () => resolve(null) })
  for (const signal of signals) signal.addEventListener('abort', giveUp)
  const first = await Promise.race([result, givenUp])
  for (const signal of signals) signal.removeEventListener('abort', giveUp)
  return first
}
