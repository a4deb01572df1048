import type { Platform } from 'knapweedshunt-platform'
import type { VmId } from 'knapweedshunt-types'
import { sleep } from 'knapweedshunt-utils'
import type { DecisionLog } from '../records/decisionLog.ts'
import { buildStreamRowPrefix, decodeStreamRow, MAX_VM_STREAM_ROWS, STREAM_TABLE } from './streamRow.ts'

/** Reads of other VMs' rows by all VMs together, per second. */
const MAX_READS_PER_S = 200

/** Longest wait for the rate limit, in milliseconds. */
const MAX_WAIT_MS = 300

/** Time for which the rows of another VM are not read again, in milliseconds. */
const READ_VALIDITY_MS = 2_000

const MS_PER_SECOND = 1_000

/** Software versions of the endpoints that began streams, by the keys of the streams. */
type VersionsByKey = ReadonlyMap<string, string>

interface PastRead {
  sentAtMs: number
  versions: Promise<VersionsByKey>
}

/** Dependencies of {@link StreamRowReader}. */
export interface StreamRowReaderDependencies {
  platform: Platform
  decisionLog: DecisionLog
  /** Ends all waits. */
  signal: AbortSignal
  countVms (): number
}

/** Reads the streams that another VM stored and cannot be asked for. */
export class StreamRowReader {
  readonly #dependencies: StreamRowReaderDependencies
  readonly #pastReads = new Map<VmId, PastRead>()
  #nextReadAtMs = -Infinity

  constructor (dependencies: StreamRowReaderDependencies) {
    this.#dependencies = dependencies
  }

  /** Finds the version that began a stream in the rows of a VM; null if they do not hold it, or cannot be read now. */
  async find (vm: VmId, key: string): Promise<string | null> {
    try {
      const versions = await this.#readRecent(vm)
      return versions?.get(key) ?? null
    } catch (error) {
      this.#dependencies.decisionLog.record({ type: 'streamRowsUnread', vm, reason: (error as Error).message })
      return null
    }
  }

  /** Resolves to null if the rate limit permits no read soon. */
  async #readRecent (vm: VmId): Promise<VersionsByKey | null> {
    const nowMs = performance.now()
    const past = this.#pastReads.get(vm)
    if (past !== undefined && nowMs - past.sentAtMs < READ_VALIDITY_MS) return await past.versions
    const sentAtMs = Math.max(nowMs, this.#nextReadAtMs)
    if (sentAtMs - nowMs > MAX_WAIT_MS) {
      this.#dependencies.decisionLog.record({ type: 'streamRowsUnread', vm, reason: 'beyond the rate of reads' })
      return null
    }
    this.#nextReadAtMs = sentAtMs + this.#dependencies.countVms() * MS_PER_SECOND / MAX_READS_PER_S
    const versions = this.#read(vm, sentAtMs - nowMs)
    this.#pastReads.set(vm, { sentAtMs, versions })
    versions.catch(() => this.#pastReads.delete(vm)) // The callers of this method get the error too.
    return await versions
  }

  async #read (vm: VmId, delayMs: number): Promise<VersionsByKey> {
    const { platform, signal, decisionLog } = this.#dependencies
    await sleep(delayMs, signal)
    const rows = await platform.scan({ table: STREAM_TABLE, prefix: buildStreamRowPrefix(vm), limit: MAX_VM_STREAM_ROWS })
    const streams = rows.flatMap(row => decodeStreamRow(row, decisionLog)?.streams ?? [])
    return new Map(streams.map(({ key, softwareVersion }) => [key, softwareVersion]))
  }
}
