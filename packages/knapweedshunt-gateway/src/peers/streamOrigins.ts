import { computeStreamKey, PoolVersionHistory, rankCandidates, selectStoringWriters, selectStreamHolders, selectStreamWriters, SettledVersions, StreamVersionTable } from 'knapweedshunt-attempts'
import type { HolderCandidate, PooledStream, StreamVersion } from 'knapweedshunt-attempts'
import type { DataCentreId, OrganisationName, PoolName, RequestId, VmId } from 'knapweedshunt-types'
import { groupBy, readElapsedMs, sleep } from 'knapweedshunt-utils'
import type { PoolVersionsRow } from '../directory/rosterRows.ts'
import type { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { PeerView } from './peerAddress.ts'
import { StreamAnnouncer } from './streamAnnouncer.ts'
import { findParamsSchema, findResultSchema, recordParamsSchema, versionsParamsSchema } from './streamMessages.ts'
import type { FindResult } from './streamMessages.ts'
import type { StreamOrigin } from './streamOrigin.ts'
import type { StreamRowReader } from './streamRowReader.ts'
import type { StreamRows } from './streamRows.ts'
import { VersionNotices } from './versionNotices.ts'

/** Age of the endpoint table up to which it shows all software versions that serve, in milliseconds; over two long polls. */
const MAX_ENDPOINTS_AGE_MS = 4_000

/** Time for which the endpoint table must have shown a software version so that no VM with a table of that age lacks it, in milliseconds. */
const SETTLE_MS = MAX_ENDPOINTS_AGE_MS + 500

/** Time for which an endpoint may still begin streams after it has left the directory, at a VM that does not see that, in milliseconds. */
const MAX_LEAVING_MS = 10_000

/** Largest difference between the wall clocks of two VMs that is reckoned with, in milliseconds. */
const MAX_CLOCK_SKEW_MS = 3_000

/** Pause after a failed write of a pool's versions, in milliseconds. */
const WRITE_RETRY_MS = 1_000

/** Longest wait until the store holds what began a stream, in milliseconds; the stream begins then all the same. */
const MAX_STORE_WAIT_MS = 80

/** Maximum number of VMs whose rows are searched for one stream. */
const MAX_READ_VMS = 3

/** How much is done for the streams of a pool so that others know them; each includes the one before. */
const SHARING = {
  none: 0,
  /** They are told to their holders. */
  told: 1,
  /** They are also told to the VMs that store them. */
  stored: 2
} as const

type Sharing = typeof SHARING[keyof typeof SHARING]

/** A stream that a caller takes up again, or begins. */
export interface StreamIdentity {
  organisation: OrganisationName
  pool: PoolName
  /** Request that brings or brought its first event; null if the caller does not say. */
  firstRequestId: RequestId | null
}

/** What a holder answered; `result` is null if it did not. */
interface HolderAnswer {
  vm: VmId
  result: FindResult | null
}

/** Dependencies of {@link StreamOrigins}. */
export interface StreamOriginsDependencies {
  vm: VmId
  dataCentre: DataCentreId
  endpointRegistry: EndpointRegistry
  decisionLog: DecisionLog
  streamRows: Pick<StreamRows, 'store' | 'isRestored' | 'waitUntilRestored'>
  streamRowReader: Pick<StreamRowReader, 'find'>
  /** Ends all calls to other VMs. */
  signal: AbortSignal
  listPeers (): PeerView[]
  call (view: PeerView, method: string, params: unknown): Promise<unknown>
  /** Time for which a stream may be taken up again, in milliseconds. */
  getRetentionMs (): number
  /** Time since the endpoint table was last confirmed, in milliseconds. */
  getEndpointsAgeMs (): number
  /** Whether this VM writes the versions of pools. */
  isVersionsWriter (): boolean
  /** Writes the versions of a pool for VMs that start later. Throws PlatformError. */
  writePoolVersions (row: PoolVersionsRow): Promise<void>
}

/**
 * Software versions of the endpoints that began streams. While the endpoints of a pool have several versions, each stream
 * is told to a few VMs, chosen by its key, before a caller can come back; any VM asks these. Two more write it to the store
 * before the caller gets its first event, for the case that all VMs end at once. While the endpoints have one version, nothing is told or written.
 */
export class StreamOrigins {
  readonly #dependencies: StreamOriginsDependencies
  readonly #table: StreamVersionTable
  readonly #history: PoolVersionHistory
  readonly #settledVersions = new SettledVersions(SETTLE_MS)
  readonly #announcer: StreamAnnouncer
  /** What is done for the streams of each pool. */
  readonly #sharing = new Map<PoolName, Sharing>()
  readonly #notices: VersionNotices
  /** Monotonic time since which any VM has observed each pool, as far as this VM knows. */
  readonly #observedSinceMs = new Map<PoolName, number>()
  /** Time of the read that confirmed the endpoint table last, on the clock of {@link readElapsedMs}. */
  #confirmedAtMs = -Infinity
  /** Versions in each pool's row, as read or written last. */
  readonly #writtenVersions = new Map<PoolName, string>()
  #nextWriteAtMs = -Infinity
  /** VMs that write streams to the store, and the VMs of which they were selected. */
  #writers: { peers: readonly PeerView[], selected: HolderCandidate[] } | null = null

  constructor (dependencies: StreamOriginsDependencies) {
    this.#dependencies = dependencies
    this.#table = new StreamVersionTable(dependencies.getRetentionMs)
    this.#history = new PoolVersionHistory(() => this.#historyMs)
    this.#announcer = new StreamAnnouncer({
      ...dependencies,
      onFailed: (vm, reason) => dependencies.decisionLog.record({ type: 'streamsUntold', vm, reason })
    })
    this.#notices = new VersionNotices({ ...dependencies, onFailed: (vm, reason) => dependencies.decisionLog.record({ type: 'versionsUntold', vm, reason }) })
  }

  /** Number of streams whose software version this VM knows. */
  get count (): number {
    return this.#table.size
  }

  /** Records the software versions that the endpoints of each pool have now. If a pool has several all of a sudden, the streams that may be taken up again are told too. */
  updateVersions (): void {
    this.#updateConfirmed()
    for (const [pool, records] of groupBy(this.#dependencies.endpointRegistry.list(), ({ entry }) => entry.pool)) {
      const versions = [...new Set(records.map(({ entry }) => entry.softwareVersion))].sort()
      this.#history.recordPresent(pool, versions)
      if (!this.#observedSinceMs.has(pool)) this.#observedSinceMs.set(pool, performance.now())
      this.#writeIfChanged(pool, versions)
      this.#settledVersions.recordPresent(pool, versions, performance.now() - this.#dependencies.getEndpointsAgeMs())
      // All versions of a new pool may begin streams untold, and are settled before that ends.
      this.#notices.announce(pool, this.#isNewPool(pool, SETTLE_MS) ? [] : this.#settledVersions.listUnsettled(pool))
      const sharing = this.#determineSharing(pool)
      const previous = this.#sharing.get(pool)
      this.#sharing.set(pool, sharing)
      // A VM that has just started knows what it has read from the store, which its peers have too.
      if (previous !== undefined && sharing > previous) for (const stream of this.#table.list(pool)) this.#announce(pool, stream)
    }
  }

  /** Records streams that an earlier incarnation of this VM stored. */
  applyRestored (streams: PooledStream[]): void {
    for (const { key, pool, softwareVersion } of streams) this.#table.record(key, pool, softwareVersion)
  }

  /** Applies the versions of a pool that another VM, or this one before it restarted, has written. */
  applyPoolVersions ({ pool, softwareVersions, changedAtMs, observedSinceMs = -Infinity }: PoolVersionsRow): void {
    this.#writtenVersions.set(pool, softwareVersions.join())
    this.#observedSinceMs.set(pool, Math.min(this.#observedSinceMs.get(pool) ?? Infinity, performance.now() - (Date.now() - observedSinceMs) - MAX_CLOCK_SKEW_MS))
    const ageMs = Math.max(0, Date.now() - changedAtMs - MAX_CLOCK_SKEW_MS)
    this.#settledVersions.adopt(pool, softwareVersions, performance.now() - ageMs)
    if (this.#history.findOnlyVersion(pool) !== null) return
    this.#history.adopt(pool, softwareVersions, performance.now() - ageMs)
  }

  /** Whether a stream may begin at a software version: the other VMs have seen the version by now, or enough of the stream's holders have been told that none of the others can be believed. */
  canBegin ({ organisation, pool, firstRequestId }: StreamIdentity, softwareVersion: string): boolean {
    if (this.#settledVersions.has(pool, softwareVersion) || this.#isNewPool(pool)) return true
    // A caller that does not name its first request is answered by the holders of the empty id.
    return [firstRequestId ?? '', ''].every(id => this.#isKnownToHolders(computeStreamKey(organisation, pool, id), pool, softwareVersion))
  }

  /** Records the version that began a stream; must be called before its first event is forwarded, which must wait for the result: whether the stream is known after an end of all VMs, as far as it is to be stored. */
  async recordBegan ({ organisation, pool, firstRequestId }: StreamIdentity, softwareVersion: string): Promise<boolean> {
    if (firstRequestId === null) return true
    const key = computeStreamKey(organisation, pool, firstRequestId)
    this.#table.record(key, pool, softwareVersion)
    if (this.#getSharing(pool) === SHARING.none && this.#findOnlyVersion(pool) === softwareVersion) return true
    const stored = this.#announce(pool, { key, softwareVersion })
    if (stored.length === 0) return true
    const timeout = new AbortController()
    const isStored = await Promise.race([...stored.map(async one => { await one; return true }), sleep(MAX_STORE_WAIT_MS, timeout.signal).then(() => false)])
    timeout.abort()
    return isStored
  }

  /** Finds the version that began a stream. */
  async findOrigin (identity: StreamIdentity): Promise<StreamOrigin> {
    const key = computeStreamKey(identity.organisation, identity.pool, identity.firstRequestId ?? '')
    const version = await this.#findOwn(key) ?? await this.#askHolders(identity, key)
    return version === null ? { type: 'unknown' } : { type: 'known', softwareVersion: version }
  }

  /** Handles `streams.record`; resolves when the streams are stored that must be, or after a while, if the caller waits for that. Throws ZodError on invalid params. */
  async handleRecord (params: unknown): Promise<object> {
    const { pool, streams, waitsUntilStored } = recordParamsSchema.parse(params)
    for (const { key, softwareVersion } of streams) this.#table.record(key, pool, softwareVersion)
    const stored = Promise.all(streams.filter(({ mustStore }) => mustStore).map(({ key, softwareVersion }) => this.#dependencies.streamRows.store({ key, pool, softwareVersion })))
    if (waitsUntilStored) await stored
    return {}
  }

  /** Handles `streams.versions`. Throws ZodError on invalid params. */
  handleVersions (params: unknown): object {
    const { pool, softwareVersions } = versionsParamsSchema.parse(params)
    this.#history.recordPresent(pool, softwareVersions)
    return {}
  }

  /** Handles `streams.find`. Throws ZodError on invalid params. */
  async handleFind (params: unknown): Promise<FindResult> {
    const { pool, key } = findParamsSchema.parse(params)
    return { softwareVersion: await this.#findOwn(key), onlyVersion: this.#findOnlyVersion(pool), isRestored: this.#dependencies.streamRows.isRestored }
  }

  async #findOwn (key: string): Promise<string | null> {
    const known = this.#table.find(key)
    if (known !== null) return known
    await this.#dependencies.streamRows.waitUntilRestored()
    return this.#table.find(key)
  }

  #getSharing (pool: PoolName): Sharing {
    return this.#sharing.get(pool) ?? SHARING.none
  }

  #determineSharing (pool: PoolName): Sharing {
    if (this.#history.hasSeveral(pool)) return SHARING.stored
    return this.#findOnlyVersion(pool) === null ? SHARING.told : SHARING.none
  }

  /** An endpoint table that is too old may lack a version. */
  #findOnlyVersion (pool: PoolName): string | null {
    return this.#dependencies.getEndpointsAgeMs() > MAX_ENDPOINTS_AGE_MS ? null : this.#history.findOnlyVersion(pool)
  }

  /** Time for which a version that is no longer present may have begun streams that are taken up again, in milliseconds. */
  get #historyMs (): number {
    return this.#dependencies.getRetentionMs() + MAX_LEAVING_MS
  }

  /** Whether no VM has observed a pool, or will have within `forMs`, for long enough to take a version for the only one. */
  #isNewPool (pool: PoolName, forMs = 0): boolean {
    return performance.now() + forMs - (this.#observedSinceMs.get(pool) ?? -Infinity) < this.#historyMs
  }

  /** Versions may have come and gone between two reads that are too far apart. */
  #updateConfirmed (): void {
    const confirmedAtMs = readElapsedMs() - this.#dependencies.getEndpointsAgeMs()
    if (confirmedAtMs - this.#confirmedAtMs > MAX_ENDPOINTS_AGE_MS && this.#confirmedAtMs !== -Infinity) {
      this.#history.recordGap()
      this.#settledVersions.clear()
    }
    this.#confirmedAtMs = confirmedAtMs
  }

  #writeIfChanged (pool: PoolName, softwareVersions: string[]): void {
    const { isVersionsWriter, writePoolVersions, decisionLog } = this.#dependencies
    const previous = this.#writtenVersions.get(pool)
    if (previous === softwareVersions.join() || performance.now() < this.#nextWriteAtMs || !isVersionsWriter()) return
    this.#writtenVersions.set(pool, softwareVersions.join())
    const observedForMs = performance.now() - (this.#observedSinceMs.get(pool) ?? -Infinity)
    writePoolVersions({ pool, softwareVersions, changedAtMs: Date.now(), ...Number.isFinite(observedForMs) && { observedSinceMs: Math.max(0, Math.round(Date.now() - observedForMs)) } }).catch(error => {
      this.#writtenVersions.delete(pool)
      this.#nextWriteAtMs = performance.now() + WRITE_RETRY_MS
      decisionLog.record({ type: 'rowUnwritten', key: `versions of ${pool}`, reason: (error as Error).message })
    })
  }

  /** Tells a stream to its holders and writers; each promise resolves when one of the latter has stored it, or after a while. */
  #announce (pool: PoolName, stream: StreamVersion): Array<Promise<void>> {
    const storing = this.#getSharing(pool) === SHARING.stored ? this.#selectStoring(stream.key) : []
    const isStoring = (vm: VmId) => storing.some(writer => writer.vm === vm)
    const stored = isStoring(this.#dependencies.vm) ? [this.#dependencies.streamRows.store({ ...stream, pool })] : []
    for (const view of this.#listPeers([...this.#selectHolders(stream.key), ...storing])) {
      const told = this.#announcer.add(view, pool, { ...stream, mustStore: isStoring(view.vm) })
      if (isStoring(view.vm)) stored.push(told)
    }
    return stored
  }

  #listCandidates (): HolderCandidate[] {
    const { vm, dataCentre, listPeers } = this.#dependencies
    return [{ vm, dataCentre }, ...listPeers()]
  }

  #selectHolders (key: string): HolderCandidate[] {
    return selectStreamHolders(key, this.#listCandidates())
  }

  #selectStoring (key: string): HolderCandidate[] {
    return selectStoringWriters(key, this.#getWriters())
  }

  #getWriters (): HolderCandidate[] {
    const peers = this.#dependencies.listPeers()
    if (this.#writers?.peers !== peers) this.#writers = { peers, selected: selectStreamWriters(this.#listCandidates()) }
    return this.#writers.selected
  }

  /** Lists the other VMs among these. */
  #listPeers (candidates: HolderCandidate[]): PeerView[] {
    return this.#dependencies.listPeers().filter(peer => candidates.some(({ vm }) => vm === peer.vm))
  }

  /** Whether so many holders of a stream know a version that those who do not are not most of them. */
  #isKnownToHolders (key: string, pool: PoolName, softwareVersion: string): boolean {
    const holders = this.#selectHolders(key)
    const peers = this.#dependencies.listPeers()
    const informed = holders.filter(({ vm }) => vm === this.#dependencies.vm || peers.some(peer => peer.vm === vm && this.#notices.isAcknowledged(peer, pool, softwareVersion)))
    return informed.length >= holders.length / 2
  }

  /** Resolves to the version that the first holder knows which knows any; if none does, to the only one that can have begun the stream, provided that most holders say so and this VM has seen no other: one that is cut off may not have seen the newest version; else to what VMs that did not answer have stored. */
  async #askHolders (identity: StreamIdentity, key: string): Promise<string | null> {
    const { pool } = identity
    const mayBeStored = identity.firstRequestId !== null
    const holders = this.#selectHolders(key)
    const storing = mayBeStored ? this.#selectStoring(key) : []
    const calls = this.#listPeers([...holders, ...storing]).map(view => this.#askHolder(view, pool, key))
    const firstKnown = await Promise.any(calls.map(async call => {
      const { result } = await call
      if (result === null || result.softwareVersion === null) throw new Error('not known')
      return result.softwareVersion
    })).catch(() => null) // All answered without the stream, or not at all.
    if (firstKnown !== null) return firstKnown
    const answers = await Promise.all(calls)
    const onlyVersions = new Map(answers.map(({ vm, result }) => [vm, result?.onlyVersion ?? null])).set(this.#dependencies.vm, this.#findOnlyVersion(pool))
    const claims = holders.map(({ vm }) => onlyVersions.get(vm) ?? null).filter(version => version !== null)
    if (claims.length > holders.length / 2 && new Set(claims).size === 1 && !this.#history.hasOtherThan(pool, claims[0])) return claims[0]
    const searched = mayBeStored ? this.#selectSearched(key, answers.filter(({ result }) => result?.isRestored === true).map(({ vm }) => vm)) : []
    const stored = await this.#findStored(key, searched)
    if (stored === null) this.#recordUnknown(identity, answers, searched.length)
    return stored
  }

  #recordUnknown ({ pool, firstRequestId }: StreamIdentity, answers: HolderAnswer[], searchedVms: number): void {
    const results = answers.map(({ result }) => result).filter(result => result !== null)
    this.#dependencies.decisionLog.record({
      type: 'streamUnknown',
      pool,
      firstRequestId: firstRequestId ?? '',
      askedVms: answers.length,
      answeredVms: results.length,
      restoringVms: results.filter(({ isRestored }) => !isRestored).length,
      searchedVms,
      isRestored: this.#dependencies.streamRows.isRestored
    })
  }

  async #askHolder (view: PeerView, pool: PoolName, key: string): Promise<HolderAnswer> {
    try {
      return { vm: view.vm, result: findResultSchema.parse(await this.#dependencies.call(view, 'streams.find', { pool, key })) }
    } catch (error) {
      this.#dependencies.decisionLog.record({ type: 'streamUnasked', vm: view.vm, reason: (error as Error).message })
      return { vm: view.vm, result: null }
    }
  }

  /** VMs that did not answer may be gone, and others may have become writers in their place; so the writers are ranked among the former. A VM that has not read its own rows does not know what they hold. */
  #selectSearched (key: string, answered: VmId[]): VmId[] {
    const { vm: ownVm, streamRows } = this.#dependencies
    const unanswered = this.#listCandidates().filter(({ vm }) => vm === ownVm ? !streamRows.isRestored : !answered.includes(vm))
    return rankCandidates(key, selectStreamWriters(unanswered)).slice(0, MAX_READ_VMS).map(({ vm }) => vm)
  }

  /** Finds what began a stream in the rows of these VMs. */
  async #findStored (key: string, vms: VmId[]): Promise<string | null> {
    for (const vm of vms) {
      const version = await this.#dependencies.streamRowReader.find(vm, key)
      if (version !== null) return version
    }
    return null
  }
}
