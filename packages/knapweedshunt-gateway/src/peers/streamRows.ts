import { setMaxListeners } from 'node:events'
import { countStreamWriters, StreamSegments } from 'knapweedshunt-attempts'
import type { PooledStream, SegmentChanges } from 'knapweedshunt-attempts'
import type { Platform, TransactionWrite } from 'knapweedshunt-platform'
import type { VmId } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { buildStreamRowPrefix, decodeStreamRow, encodeStreamRow, isStreamKey, MAX_VM_STREAM_ROWS, STREAM_TABLE } from './streamRow.ts'
import { sweepStreamRows } from './sweepStreamRows.ts'

/** Minimum mean time between two writes of one VM, in milliseconds. */
const MIN_WRITE_INTERVAL_MS = 60

/** Part of the time between two writes that is drawn; with the other part, a stream is written before the wait for it ends. */
const DRAWN_INTERVAL_SHARE = 1 / 3

/** Writes of all VMs together, per second. */
const MAX_WRITES_PER_S = 200

const MS_PER_SECOND = 1_000

/** Time for which streams are gathered for a write when there was none lately, in milliseconds. */
const GATHER_MS = 5

/** Longest wait for the write of a stream, in milliseconds; less than other VMs wait for an answer. */
const MAX_WRITE_WAIT_MS = 150

/** Pause after a failed call, in milliseconds. */
const RETRY_INTERVAL_MS = 500

/** Longest wait for this VM's own rows, in milliseconds; less than other VMs wait for an answer. */
const MAX_RESTORE_WAIT_MS = 150

const SWEEP_INTERVAL_MS = 300_000

/** Dependencies of {@link StreamRows}. */
export interface StreamRowsDependencies {
  platform: Platform
  vm: VmId
  incarnation: string
  decisionLog: DecisionLog
  metrics: GatewayMetrics
  /** Ends all reads and writes. */
  signal: AbortSignal
  /** Draws a duration around the mean, so that VMs do not write at the same moment. */
  randomizeDelayMs (meanMs: number): number
  /** Whether this VM removes the rows of VMs that have not come back. */
  isSweeper (): boolean
  /** Time for which a stream may be taken up again, in milliseconds. */
  getRetentionMs (): number
  countVms (): number
  /** Called with the streams that earlier incarnations of this VM stored. */
  onRestored (streams: PooledStream[]): void
}

/**
 * Streams that this VM writes to the store, so that they are known after all VMs have ended at once. Each incarnation
 * writes rows of its own; it takes over those of earlier ones and removes them when no caller takes up their streams.
 */
export class StreamRows {
  readonly #dependencies: StreamRowsDependencies
  readonly #segments: StreamSegments
  readonly #prefix: string
  readonly #restoreController = new AbortController()
  /** Aborted when the streams, by their keys, are in the store. */
  readonly #writeControllers = new Map<string, AbortController>()
  #isWriting = false
  /** Whether the last write failed. */
  #isFailing = false
  #nextWriteAtMs = -Infinity
  #nextSweepAtMs = performance.now() + SWEEP_INTERVAL_MS

  constructor (dependencies: StreamRowsDependencies) {
    const { vm, incarnation, getRetentionMs, decisionLog, metrics } = dependencies
    this.#dependencies = dependencies
    this.#prefix = buildStreamRowPrefix(vm)
    // Each request that waits for the rows listens.
    setMaxListeners(0, this.#restoreController.signal)
    this.#segments = new StreamSegments({
      idPrefix: `${this.#prefix}${incarnation}/`,
      getRetentionMs,
      onEvicted: count => {
        metrics.recordEvictedStreams(count)
        decisionLog.record({ type: 'streamsEvicted', count })
      }
    })
  }

  /** Number of streams in this VM's rows. */
  get count (): number {
    return this.#segments.size
  }

  /** Whether the rows of this VM's earlier incarnations were read. */
  get isRestored (): boolean {
    return this.#restoreController.signal.aborted
  }

  /** Adds a stream, which is written soon; waits until it is in the store, but not for long, and not while writes fail. */
  async store (stream: PooledStream): Promise<void> {
    const { key } = stream
    if (!isStreamKey(key)) return
    this.#segments.add(stream)
    this.#scheduleWrite()
    if (this.#isFailing) return
    const controller = this.#writeControllers.get(key) ?? new AbortController()
    this.#writeControllers.set(key, controller)
    await sleep(MAX_WRITE_WAIT_MS, controller.signal)
    this.#writeControllers.delete(key)
  }

  /** Removes rows that are no longer needed. */
  update (): void {
    if (this.#segments.hasChanges) this.#scheduleWrite()
    if (performance.now() < this.#nextSweepAtMs) return
    this.#nextSweepAtMs = performance.now() + SWEEP_INTERVAL_MS
    const { isSweeper, platform, decisionLog } = this.#dependencies
    if (isSweeper()) sweepStreamRows(platform, decisionLog).catch(error => this.#recordUnwritten(error))
  }

  /** Writes all rows again, as the store may have lost writes. */
  rewrite (): void {
    this.#segments.resetWritten()
  }

  /** Reads the rows of this VM's earlier incarnations; tries again until the store answers. */
  async restore (): Promise<void> {
    const { signal, vm, decisionLog } = this.#dependencies
    while (!signal.aborted) {
      try {
        await this.#readOwnRows()
        return this.#restoreController.abort()
      } catch (error) {
        decisionLog.record({ type: 'streamRowsUnread', vm, reason: (error as Error).message })
        await sleep(RETRY_INTERVAL_MS, signal)
      }
    }
  }

  /** Waits until this VM has read its own rows, but not for long. */
  async waitUntilRestored (): Promise<void> {
    await sleep(MAX_RESTORE_WAIT_MS, this.#restoreController.signal)
  }

  async #readOwnRows (): Promise<void> {
    const { platform, decisionLog, metrics, onRestored } = this.#dependencies
    const rows = await platform.scan({ table: STREAM_TABLE, prefix: this.#prefix, limit: MAX_VM_STREAM_ROWS })
    const segments = rows.map(row => ({ id: row.key, streams: decodeStreamRow(row, decisionLog)?.streams ?? [] }))
    for (const segment of segments) this.#segments.adopt(segment)
    const streams = segments.flatMap(segment => segment.streams)
    if (streams.length === 0) return
    metrics.recordRestoredStreams(streams.length)
    decisionLog.record({ type: 'streamsRestored', rows: rows.length, streams: streams.length })
    onRestored(streams)
  }

  #scheduleWrite (): void {
    if (this.#isWriting) return
    this.#isWriting = true
    this.#writeUntilDone().catch(() => {}) // Failed writes are recorded.
  }

  async #writeUntilDone (): Promise<void> {
    const { signal, randomizeDelayMs } = this.#dependencies
    await sleep(Math.max(randomizeDelayMs(GATHER_MS), this.#nextWriteAtMs - performance.now()), signal)
    while (this.#segments.hasChanges && !signal.aborted) {
      const startedAtMs = performance.now()
      const isWritten = await this.#write(this.#segments.takeChanges())
      this.#isFailing = !isWritten
      this.#nextWriteAtMs = startedAtMs + (isWritten ? this.#drawWriteIntervalMs() : randomizeDelayMs(RETRY_INTERVAL_MS))
      await sleep(Math.max(0, this.#nextWriteAtMs - performance.now()), signal)
    }
    this.#isWriting = false
  }

  #drawWriteIntervalMs (): number {
    const { countVms, randomizeDelayMs } = this.#dependencies
    const meanMs = Math.max(MIN_WRITE_INTERVAL_MS, countStreamWriters(countVms()) * MS_PER_SECOND / MAX_WRITES_PER_S)
    return meanMs * (1 - DRAWN_INTERVAL_SHARE) + randomizeDelayMs(meanMs * DRAWN_INTERVAL_SHARE)
  }

  async #write (changes: SegmentChanges): Promise<boolean> {
    const puts = changes.changed.map(({ id, streams }): TransactionWrite => ({ type: 'put', table: STREAM_TABLE, key: id, value: encodeStreamRow(streams, Date.now()) }))
    const deletions = changes.removedIds.map((key): TransactionWrite => ({ type: 'delete', table: STREAM_TABLE, key }))
    try {
      await this.#dependencies.platform.transact({ checks: [], writes: [...puts, ...deletions] })
      for (const { key } of changes.changed.flatMap(({ streams }) => streams)) this.#writeControllers.get(key)?.abort()
      return true
    } catch (error) {
      this.#segments.handleUnwritten(changes)
      this.#recordUnwritten(error)
      return false
    }
  }

  #recordUnwritten (error: unknown): void {
    const { metrics, decisionLog, vm } = this.#dependencies
    metrics.recordUnwrittenRow()
    decisionLog.record({ type: 'rowUnwritten', key: `streams of ${vm}`, reason: (error as Error).message })
  }
}
