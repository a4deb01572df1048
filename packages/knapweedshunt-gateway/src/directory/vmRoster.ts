import type { ChangedRow, Row, TableUpdate } from 'knapweedshunt-platform'
import type { EndpointLimitReport } from 'knapweedshunt-admission'
import type { SuspectMark } from 'knapweedshunt-attempts'
import type { ReceivedNotice, WaveNotice } from 'knapweedshunt-fleet'
import type { PoolName, VmId } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { PeerAddress, PeerView } from '../peers/peerAddress.ts'
import { computeAgeMs } from './computeAgeMs.ts'
import { CrashMarks } from './crashMarks.ts'
import { OwnedRows } from './ownedRows.ts'
import { parseRosterRow } from './parseRosterRow.ts'
import { ROSTER_KEY, ROSTER_TABLE } from './rosterRows.ts'
import type { CrashRow, LimitRow, PartRow, PoolVersionsRow, VmRow } from './rosterRows.ts'
import type { VmRosterDependencies } from './vmRosterDependencies.ts'

/** Time for which the store may hold a long poll of the roster, in milliseconds. A connection that went silent is noticed only after it, and until then this VM learns of no crash at other VMs. */
export const ROSTER_POLL_WAIT_MS = 2_000

/** Time within which a VM that reaches the store notices that its row is missing and has written it again, in milliseconds. */
const ROW_RECOVERY_MS = 5_000

interface KnownVm {
  row: VmRow
  /** Monotonic time since which a full read of the table lacks the row; null while it is present. */
  missingSinceMs: number | null
}

interface DerivedVms {
  names: VmId[]
  /** The other VMs that serve calls. */
  peers: PeerView[]
  /** Rank of this VM. */
  rank: number
}

interface TimedNotice {
  notice: WaveNotice
  receivedAtMs: number
}

/** State that VMs share through the store: the VMs themselves, the endpoints that load weights, the requests suspected of crashing endpoints. */
export class VmRoster {
  readonly #dependencies: VmRosterDependencies
  readonly #ownedRows: OwnedRows
  readonly #crashMarks: CrashMarks
  readonly #vms = new Map<string, KnownVm>()
  /** Whether a VM is missing, as far as this VM has looked. */
  #hasMissingVms = false
  /** What follows from {@link #vms}; null after a change of the VMs. */
  #derived: DerivedVms | null = null
  readonly #waveNotices = new Map<PoolName, TimedNotice>()
  /** Whether the marks and part evidence of this VM's previous incarnation were read; its rows must not be replaced before. */
  #hasAdoptedRows = false
  #hasPartEvidence = false
  /** Where this VM serves calls of the others; null if it does not. */
  #ownPeer: PeerAddress | null = null

  constructor (dependencies: VmRosterDependencies) {
    const { platform, self, signal, onMarkEvicted, onUnwritten } = dependencies
    this.#dependencies = dependencies
    this.#vms.set(ROSTER_KEY.vm + self.vm, { row: self, missingSinceMs: null })
    this.#crashMarks = new CrashMarks(self.incarnation, onMarkEvicted)
    this.#ownedRows = new OwnedRows({ platform, table: ROSTER_TABLE, signal, onUnwritten: (keys, reason) => keys.forEach(key => onUnwritten(key, reason)) })
  }

  /** Number of VMs that may be running, including this one. */
  countVms (): number {
    this.#removeMissingVms()
    return this.#vms.size
  }

  /** Lists the VMs that may be running, including this one; empty before the first full read. */
  listVms (): VmId[] {
    this.#removeMissingVms()
    return this.#hasAdoptedRows ? this.#getDerived().names : []
  }

  /** Whether this VM writes what no VM in particular owns; false while the other VMs are not known. */
  get isSharedWriter (): boolean {
    return this.#hasAdoptedRows && this.computeRank() === 0
  }

  /** Rank of this VM in an order that all VMs agree on, 0 first. */
  computeRank (): number {
    this.#removeMissingVms()
    return this.#getDerived().rank
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
    if (update.type === 'rows') this.#applySnapshot(update.rows)
    else for (const row of update.rows) this.#applyChange(row)
  }

  /** Lists the other VMs that serve calls. */
  listPeers (): PeerView[] {
    this.#removeMissingVms()
    return this.#getDerived().peers
  }

  /** Writes this VM's row; `peer` is where it serves calls of the others, null if it does not; `servesTables` if it hands tables on there. */
  announceSelf (peer: PeerAddress | null, servesTables = false): void {
    const { self } = this.#dependencies
    this.#ownPeer = peer
    this.#derived = null
    this.#ownedRows.put(ROSTER_KEY.vm + self.vm, { ...self, peer, servesTables: peer !== null && servesTables })
  }

  /** Deletes this VM's row; a failure is only logged. */
  async removeSelf (): Promise<void> {
    const key = ROSTER_KEY.vm + this.#dependencies.self.vm
    try {
      await this.#dependencies.platform.transact({ checks: [], writes: [{ type: 'delete', table: ROSTER_TABLE, key }] })
    } catch (error) {
      this.#dependencies.log.warn('Row of this VM could not be deleted.', { reason: (error as Error).message })
    }
  }

  /** Announces a wave to all VMs. Throws PlatformError. */
  async announceWave (notice: WaveNotice): Promise<void> {
    this.#applyWaveNotice(notice)
    await this.#dependencies.platform.transact({ checks: [], writes: [{ type: 'put', table: ROSTER_TABLE, key: ROSTER_KEY.wave + notice.pool, value: notice }] })
  }

  /** Writes the software versions of a pool for VMs that start later. Throws PlatformError. */
  async writePoolVersions (row: PoolVersionsRow): Promise<void> {
    await this.#dependencies.platform.transact({ checks: [], writes: [{ type: 'put', table: ROSTER_TABLE, key: ROSTER_KEY.versions + row.pool, value: row }] })
  }

  /** Announces a request that may have crashed an endpoint, or its clearing, to all VMs. */
  announceMark (mark: SuspectMark): void {
    this.#crashMarks.add(mark)
    this.#publishMarks()
  }

  /** Withdraws this VM's mark of a request. */
  removeMark (fingerprint: string): void {
    this.#crashMarks.remove(fingerprint)
    this.#publishMarks()
  }

  /** Publishes this VM's present knowledge of prompt parts that may crash endpoints. */
  announceParts (): void {
    this.#hasPartEvidence = true
    this.#publishParts()
  }

  /** Publishes this VM's report about the rate limits of endpoints. */
  announceLimits (report: EndpointLimitReport): void {
    const { self } = this.#dependencies
    const row: LimitRow = { vm: self.vm, incarnation: self.incarnation, report }
    this.#ownedRows.put(ROSTER_KEY.limit + self.vm, row)
  }

  #removeMissingVms (): void {
    if (!this.#hasMissingVms) return
    const oldestMs = performance.now() - ROW_RECOVERY_MS
    for (const [key, { missingSinceMs }] of this.#vms) if (missingSinceMs !== null && missingSinceMs <= oldestMs) this.#removeVm(key)
    this.#hasMissingVms = [...this.#vms.values()].some(({ missingSinceMs }) => missingSinceMs !== null)
  }

  #removeVm (key: string): void {
    this.#vms.delete(key)
    this.#derived = null
  }

  /** These are needed for each request, while VMs change seldom. */
  #getDerived (): DerivedVms {
    if (this.#derived !== null) return this.#derived
    const ranked = [...this.#vms.values()].map(({ row }) => hashText(row.vm)).sort()
    this.#derived = {
      names: [...this.#vms.values()].map(({ row }) => row.vm),
      peers: [...this.#vms].flatMap(([key, { row }]) => this.#isOwn(key) || row.peer == null || row.peer.url === this.#ownPeer?.url ? [] : [{ vm: row.vm, dataCentre: row.dataCentre, address: row.peer, servesTables: row.servesTables ?? false }]),
      rank: ranked.indexOf(hashText(this.#dependencies.self.vm))
    }
    return this.#derived
  }

  #publishMarks (): void {
    const row = this.#crashMarks.buildRow()
    if (row !== null && this.#hasAdoptedRows) this.#ownedRows.put(this.#crashKey, row)
  }

  #publishParts (): void {
    if (!this.#hasPartEvidence || !this.#hasAdoptedRows) return
    const row: PartRow = { incarnation: this.#dependencies.self.incarnation, atMs: Date.now(), evidence: this.#dependencies.buildPartEvidence() }
    this.#ownedRows.put(ROSTER_KEY.part + this.#dependencies.self.vm, row)
  }

  get #crashKey (): string {
    return ROSTER_KEY.crash + this.#dependencies.self.vm
  }

  /** VMs that the snapshot lacks are kept for a while: a restored store lists them again once they have written their rows. */
  #applySnapshot (rows: Row[]): void {
    const presentKeys = new Set(rows.map(row => row.key))
    for (const [key, known] of this.#vms) {
      if (presentKeys.has(key) || this.#isOwn(key)) continue
      known.missingSinceMs ??= performance.now()
      this.#hasMissingVms = true
    }
    for (const row of rows) this.#applyRow(row)
    if (!this.#hasAdoptedRows) {
      this.#hasAdoptedRows = true
      this.#publishMarks()
      this.#publishParts()
    }
    this.#ownedRows.reconcileSnapshot(rows)
  }

  #applyChange (row: ChangedRow): void {
    this.#ownedRows.reconcileRow(row.key, row.isDeleted ? null : row.value)
    if (!row.isDeleted) this.#applyRow(row)
    else if (!this.#isOwn(row.key)) this.#removeVm(row.key)
  }

  #isOwn (key: string): boolean {
    return key === ROSTER_KEY.vm + this.#dependencies.self.vm
  }

  /** A row that cannot be applied affects no other. */
  #applyRow (row: Row): void {
    const { onPoolVersions, onLimitReport, onUnreadable } = this.#dependencies
    try {
      match(parseRosterRow(row))
        .with({ type: 'vm' }, ({ value }) => this.#applyVmRow(row.key, value))
        .with({ type: 'wave' }, ({ value }) => this.#applyWaveNotice(value))
        .with({ type: 'part' }, ({ value }) => this.#applyPartRow(row.key, value))
        .with({ type: 'versions' }, ({ value }) => onPoolVersions(value))
        .with({ type: 'limit' }, ({ value: { vm, incarnation, report } }) => onLimitReport({ vm, from: incarnation, report }))
        .with({ type: 'crash' }, ({ value }) => this.#applyCrashRow(row.key, value))
        .with({ type: 'unreadable' }, ({ reason }) => onUnreadable(row, reason))
        .with({ type: 'other' }, () => {})
        .exhaustive()
    } catch (error) {
      onUnreadable(row, (error as Error).message)
    }
  }

  #applyVmRow (key: string, row: VmRow): void {
    if (this.#isOwn(key)) return
    this.#vms.set(key, { row, missingSinceMs: null })
    this.#derived = null
  }

  /** A starting VM applies the marks of all VMs, including those that its previous incarnation wrote. */
  #applyCrashRow (key: string, row: CrashRow): void {
    for (const received of this.#crashMarks.takeNew(row)) this.#dependencies.onMark(received)
    if (key !== this.#crashKey || row.incarnation === this.#dependencies.self.incarnation) return
    this.#crashMarks.adopt(row)
    this.#publishMarks()
  }

  #applyPartRow (key: string, { incarnation, atMs, evidence }: PartRow): void {
    const { self, onPartEvidence } = this.#dependencies
    if (incarnation === self.incarnation) return
    const isOwn = key === ROSTER_KEY.part + self.vm
    onPartEvidence({ evidence, from: incarnation, ageMs: computeAgeMs(atMs), isOwn })
    if (isOwn) this.announceParts()
  }

  #applyWaveNotice (notice: WaveNotice): void {
    this.#waveNotices.set(notice.pool, { notice, receivedAtMs: performance.now() })
    this.#dependencies.onWaveNotice(notice)
  }
}
