import { setMaxListeners } from 'node:events'
import { StreamSegments } from 'knapweedshunt-attempts'
import type { PooledStream, SegmentChanges } from 'knapweedshunt-attempts'
import type { Platform, TransactionWrite } from 'knapweedshunt-platform'
import type { VmId } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { buildStreamRowPrefix, decodeStreamRow, encodeStreamRow, isStreamKey, MAX_VM_STREAM_ROWS, STREAM_TABLE } from './streamRow.ts'
import { sweepStreamRows } from './sweepStreamRows.ts'

/** Time between two writes of one VM, in milliseconds; the number of VMs that write is limited. */
const WRITE_INTERVAL_MS = 250

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
  #isWriting = false
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

  /** Adds a stream, which is written soon. */
  add (stream: PooledStream): void {
    if (!isStreamKey(stream.key)) return
    this.#segments.add(stream)
    this.#scheduleWrite()
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
    await sleep(randomizeDelayMs(WRITE_INTERVAL_MS), signal)
    while (this.#segments.hasChanges && !signal.aborted) {
      const isWritten = await this.#write(this.#segments.takeChanges())
      await sleep(randomizeDelayMs(isWritten ? WRITE_INTERVAL_MS : RETRY_INTERVAL_MS), signal)
    }
    this.#isWriting = false
  }

  async #write (changes: SegmentChanges): Promise<boolean> {
    const puts = changes.changed.map(({ id, streams }): TransactionWrite => ({ type: 'put', table: STREAM_TABLE, key: id, value: encodeStreamRow(streams, Date.now()) }))
    const deletions = changes.removedIds.map((key): TransactionWrite => ({ type: 'delete', table: STREAM_TABLE, key }))
    try {
      await this.#dependencies.platform.transact({ checks: [], writes: [...puts, ...deletions] })
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
