import type { Logger } from 'knapweedshunt-logger'
import type { Platform, Row, TableNews } from 'knapweedshunt-platform'
import type { SuspectMark } from 'knapweedshunt-attempts'
import type { ReceivedNotice, WaveNotice } from 'knapweedshunt-fleet'
import type { DataCentreId, Incarnation, PoolName, VmId } from 'knapweedshunt-types'
import { hashText, sleep } from 'knapweedshunt-utils'

/** Table of what VMs tell each other. */
export const ROSTER_TABLE = 'knapweedshunt'

const VM_PREFIX = 'vm/'
const WAVE_PREFIX = 'wave/'
const CRASH_PREFIX = 'crash/'

/** Time between two tries to write a row that was not written, in milliseconds. */
const REWRITE_MS = 500

/** Most marks in a VM's row; the oldest go first. */
const MAX_MARKS = 40

/** Time for which marks are gathered before the row is written, in milliseconds: a crash marks all requests that were at its endpoint. */
const GATHER_MS = 20

/** Age by the time of day up to which a mark is taken, in milliseconds: as long as a request stays suspect, clocks that differ by seconds included. */
const MARK_MS = 70_000

/** Row of one VM. */
interface VmRow {
  vm: VmId
  incarnation: Incarnation
  dataCentre: DataCentreId
}

/** A mark with its place among those of one VM, so that it is taken once however often the row is read. */
interface NumberedMark {
  n: number
  /** Time of day, Unix milliseconds. */
  atMs: number
  mark: SuspectMark
}

/** Row of one VM's marks. */
interface CrashRow {
  incarnation: Incarnation
  marks: NumberedMark[]
}

interface TimedNotice {
  notice: WaveNotice
  atMs: number
}

/** What the roster is made of. */
export interface RosterParts {
  platform: Platform
  self: VmRow
  log: Logger
  onMark (mark: SuspectMark): void
  onWave (notice: WaveNotice): void
}

/** What VMs tell each other through the store: who there is, which endpoints load weights, which requests crash endpoints. */
export class VmRoster {
  readonly #parts: RosterParts
  readonly #vms = new Map<string, VmRow>()
  readonly #waves = new Map<PoolName, TimedNotice>()
  #marks: NumberedMark[] = []
  #lastMark = 0
  #writing: Promise<void> | null = null
  /** Last mark taken of each VM's incarnation. */
  readonly #taken = new Map<Incarnation, number>()

  constructor (parts: RosterParts) {
    this.#parts = parts
    this.#vms.set(VM_PREFIX + parts.self.vm, parts.self)
  }

  /** VMs that may be running, this one among them. */
  countVms (): number {
    return this.#vms.size
  }

  /** Place of this VM in an order that all VMs know, 0 first. */
  readRank (): number {
    const names = [...this.#vms.values()].map(row => hashText(row.vm)).sort()
    return names.indexOf(hashText(this.#parts.self.vm))
  }

  /** The last notice of a pool's wave. */
  findWave (pool: PoolName): ReceivedNotice | null {
    const heard = this.#waves.get(pool)
    return heard === undefined ? null : { notice: heard.notice, ageMs: performance.now() - heard.atMs }
  }

  /** Lists the last notices. */
  listWaves (): WaveNotice[] {
    return [...this.#waves.values()].map(heard => heard.notice)
  }

  /** Takes news of the table. */
  takeNews (news: TableNews): void {
    if (news.type === 'rows') {
      this.#vms.clear()
      this.#vms.set(VM_PREFIX + this.#parts.self.vm, this.#parts.self)
    }
    for (const row of news.rows) {
      if ('isDeleted' in row && row.isDeleted) this.#vms.delete(row.key)
      else this.#takeRow(row)
    }
  }

  /** Writes this VM's row; tries until it is written or the signal aborts. */
  async announceSelf (signal: AbortSignal): Promise<void> {
    const { self } = this.#parts
    while (!signal.aborted) {
      if (await this.#put(VM_PREFIX + self.vm, self)) return
      await sleep(REWRITE_MS, signal)
    }
  }

  /** Takes this VM's row away. */
  async leave (): Promise<void> {
    const key = VM_PREFIX + this.#parts.self.vm
    try {
      await this.#parts.platform.transact({ checks: [], writes: [{ type: 'delete', table: ROSTER_TABLE, key }] })
    } catch (error) {
      this.#parts.log.warn('Own row not taken away.', { reason: (error as Error).message })
    }
  }

  /** Tells all VMs of a wave. Throws PlatformError. */
  async announceWave (notice: WaveNotice): Promise<void> {
    this.#takeWave(notice)
    await this.#parts.platform.transact({ checks: [], writes: [{ type: 'put', table: ROSTER_TABLE, key: WAVE_PREFIX + notice.pool, value: notice }] })
  }

  /** Tells all VMs of a request that may have crashed an endpoint. */
  async announceMark (mark: SuspectMark): Promise<void> {
    const numbered = { n: ++this.#lastMark, atMs: Date.now(), mark }
    this.#marks = [...this.#marks.filter(known => known.mark.fingerprint !== mark.fingerprint), numbered].slice(-MAX_MARKS)
    this.#writing ??= this.#writeMarks()
    await this.#writing
  }

  async #writeMarks (): Promise<void> {
    await sleep(GATHER_MS)
    this.#writing = null
    const { vm, incarnation } = this.#parts.self
    const row: CrashRow = { incarnation, marks: this.#marks }
    await this.#put(CRASH_PREFIX + vm, row)
  }

  #takeRow ({ key, value }: Row): void {
    if (value === null || typeof value !== 'object') return
    if (key.startsWith(VM_PREFIX)) this.#vms.set(key, value as VmRow)
    if (key.startsWith(WAVE_PREFIX)) this.#takeWave(value as WaveNotice)
    if (key.startsWith(CRASH_PREFIX)) this.#takeMarks(value as CrashRow)
  }

  /** A VM that starts takes the marks of all, also those that it wrote itself before. */
  #takeMarks ({ incarnation, marks }: CrashRow): void {
    if (incarnation === this.#parts.self.incarnation) return
    const last = this.#taken.get(incarnation) ?? 0
    const oldestMs = Date.now() - MARK_MS
    for (const { n, atMs, mark } of marks) if (n > last && atMs >= oldestMs) this.#parts.onMark(mark)
    this.#taken.set(incarnation, Math.max(last, ...marks.map(({ n }) => n)))
  }

  #takeWave (notice: WaveNotice): void {
    this.#waves.set(notice.pool, { notice, atMs: performance.now() })
    this.#parts.onWave(notice)
  }

  async #put (key: string, value: object): Promise<boolean> {
    try {
      await this.#parts.platform.transact({ checks: [], writes: [{ type: 'put', table: ROSTER_TABLE, key, value }] })
      return true
    } catch (error) {
      this.#parts.log.warn('Own row not written.', { key, reason: (error as Error).message })
      return false
    }
  }
}
