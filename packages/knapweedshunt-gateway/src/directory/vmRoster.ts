import type { Logger } from 'knapweedshunt-logger'
import type { Platform, Row, TableUpdate } from 'knapweedshunt-platform'
import type { SuspectMark } from 'knapweedshunt-attempts'
import type { ReceivedNotice, WaveNotice } from 'knapweedshunt-fleet'
import type { DataCentreId, Incarnation, PoolName, VmId } from 'knapweedshunt-types'
import { hashText, sleep } from 'knapweedshunt-utils'

/** Name of the roster table, which all VMs share. */
export const ROSTER_TABLE = 'knapweedshunt'

/** Time for which the store may hold a long poll of the roster, in milliseconds. */
export const ROSTER_POLL_WAIT_MS = 10_000

const VM_PREFIX = 'vm/'
const WAVE_PREFIX = 'wave/'
const CRASH_PREFIX = 'crash/'

/** Interval between two attempts to write this VM's row, in milliseconds. */
const WRITE_RETRY_INTERVAL_MS = 500

/** Maximum number of marks in a VM's row; the oldest are evicted first. */
const MAX_MARKS = 40

/** Time for which marks are batched before the row is written, in milliseconds: a crash marks all requests that were in flight at the endpoint. */
const MARK_BATCH_MS = 20

/** Maximum age by wall clock at which a mark is applied, in milliseconds: the time for which a request stays suspect, plus seconds of clock skew. */
const MAX_MARK_AGE_MS = 70_000

/** Row of one VM. */
interface VmRow {
  vm: VmId
  incarnation: Incarnation
  dataCentre: DataCentreId
}

/** A mark with its sequence number among those of one VM, so that it is applied once however often the row is read. */
interface NumberedMark {
  n: number
  /** Wall-clock time, Unix milliseconds. */
  atMs: number
  mark: SuspectMark
}

/** Row of one VM's marks. */
interface CrashRow {
  incarnation: Incarnation
  marks: NumberedMark[]
}

/** A mark read from the row of another VM. */
export interface ReceivedMark {
  mark: SuspectMark
  /** Incarnation of the VM that wrote it. */
  from: Incarnation
  /** Time since the mark was made, by the wall clocks of both VMs, in milliseconds. */
  ageMs: number
}

interface TimedNotice {
  notice: WaveNotice
  receivedAtMs: number
}

/** Dependencies of {@link VmRoster}. */
export interface VmRosterDependencies {
  platform: Platform
  self: VmRow
  log: Logger
  onMark (received: ReceivedMark): void
  /** Called for a mark that is removed from this VM's row because the row is full. */
  onMarkEvicted (mark: SuspectMark): void
  /** Called when a row of this VM could not be written. */
  onUnwritten (key: string, reason: string): void
  onWaveNotice (notice: WaveNotice): void
}

/** State that VMs share through the store: the VMs themselves, the endpoints that load weights, the requests suspected of crashing endpoints. */
export class VmRoster {
  readonly #dependencies: VmRosterDependencies
  readonly #vms = new Map<string, VmRow>()
  readonly #waveNotices = new Map<PoolName, TimedNotice>()
  #marks: NumberedMark[] = []
  #lastMarkNumber = 0
  #pendingWrite: Promise<void> | null = null
  /** Number of the last mark applied, by VM incarnation. */
  readonly #lastAppliedMark = new Map<Incarnation, number>()

  constructor (dependencies: VmRosterDependencies) {
    this.#dependencies = dependencies
    this.#vms.set(VM_PREFIX + dependencies.self.vm, dependencies.self)
  }

  /** Number of VMs that may be running, including this one. */
  countVms (): number {
    return this.#vms.size
  }

  /** Rank of this VM in an order that all VMs agree on, 0 first. */
  computeRank (): number {
    const names = [...this.#vms.values()].map(row => hashText(row.vm)).sort()
    return names.indexOf(hashText(this.#dependencies.self.vm))
  }

  /** Finds the last notice of a pool's wave; null when there was none. */
  findWaveNotice (pool: PoolName): ReceivedNotice | null {
    const received = this.#waveNotices.get(pool)
    return received === undefined ? null : { notice: received.notice, ageMs: performance.now() - received.receivedAtMs }
  }

  /** Lists the last notice of each pool's wave. */
  listWaveNotices (): WaveNotice[] {
    return [...this.#waveNotices.values()].map(received => received.notice)
  }

  /** Applies changes to the roster table. */
  applyUpdate (update: TableUpdate): void {
    if (update.type === 'rows') {
      this.#vms.clear()
      this.#vms.set(VM_PREFIX + this.#dependencies.self.vm, this.#dependencies.self)
    }
    for (const row of update.rows) {
      if ('isDeleted' in row && row.isDeleted) this.#vms.delete(row.key)
      else this.#applyRow(row)
    }
  }

  /** Writes this VM's row; retries until it is written or the signal aborts. */
  async announceSelf (signal: AbortSignal): Promise<void> {
    const { self } = this.#dependencies
    while (!signal.aborted) {
      if (await this.#put(VM_PREFIX + self.vm, self)) return
      await sleep(WRITE_RETRY_INTERVAL_MS, signal)
    }
  }

  /** Deletes this VM's row; a failure is only logged. */
  async removeSelf (): Promise<void> {
    const key = VM_PREFIX + this.#dependencies.self.vm
    try {
      await this.#dependencies.platform.transact({ checks: [], writes: [{ type: 'delete', table: ROSTER_TABLE, key }] })
    } catch (error) {
      this.#dependencies.log.warn('Row of this VM could not be deleted.', { reason: (error as Error).message })
    }
  }

  /** Announces a wave to all VMs. Throws PlatformError. */
  async announceWave (notice: WaveNotice): Promise<void> {
    this.#applyWaveNotice(notice)
    await this.#dependencies.platform.transact({ checks: [], writes: [{ type: 'put', table: ROSTER_TABLE, key: WAVE_PREFIX + notice.pool, value: notice }] })
  }

  /** Announces a request that may have crashed an endpoint, or its clearing, to all VMs. */
  async announceMark (mark: SuspectMark): Promise<void> {
    const numbered = { n: ++this.#lastMarkNumber, atMs: Date.now(), mark }
    this.#marks = [...this.#marks.filter(known => known.mark.fingerprint !== mark.fingerprint), numbered]
    while (this.#marks.length > MAX_MARKS) this.#dependencies.onMarkEvicted(this.#marks.shift()!.mark)
    this.#pendingWrite ??= this.#writeMarks()
    await this.#pendingWrite
  }

  async #writeMarks (): Promise<void> {
    await sleep(MARK_BATCH_MS)
    this.#pendingWrite = null
    const { vm, incarnation } = this.#dependencies.self
    const row: CrashRow = { incarnation, marks: this.#marks }
    await this.#put(CRASH_PREFIX + vm, row)
  }

  #applyRow ({ key, value }: Row): void {
    if (value === null || typeof value !== 'object') return
    if (key.startsWith(VM_PREFIX)) this.#vms.set(key, value as VmRow)
    if (key.startsWith(WAVE_PREFIX)) this.#applyWaveNotice(value as WaveNotice)
    if (key.startsWith(CRASH_PREFIX)) this.#applyMarks(value as CrashRow)
  }

  /** A starting VM applies the marks of all VMs, including those that its previous incarnation wrote. */
  #applyMarks ({ incarnation, marks }: CrashRow): void {
    if (incarnation === this.#dependencies.self.incarnation) return
    const lastNumber = this.#lastAppliedMark.get(incarnation) ?? 0
    const nowMs = Date.now()
    for (const { n, atMs, mark } of marks) if (n > lastNumber && atMs >= nowMs - MAX_MARK_AGE_MS) this.#dependencies.onMark({ mark, from: incarnation, ageMs: nowMs - atMs })
    this.#lastAppliedMark.set(incarnation, Math.max(lastNumber, ...marks.map(({ n }) => n)))
  }

  #applyWaveNotice (notice: WaveNotice): void {
    this.#waveNotices.set(notice.pool, { notice, receivedAtMs: performance.now() })
    this.#dependencies.onWaveNotice(notice)
  }

  async #put (key: string, value: object): Promise<boolean> {
    try {
      await this.#dependencies.platform.transact({ checks: [], writes: [{ type: 'put', table: ROSTER_TABLE, key, value }] })
      return true
    } catch (error) {
      this.#dependencies.onUnwritten(key, (error as Error).message)
      return false
    }
  }
}
