import { computeStreamKey, PoolVersionHistory, selectStreamHolders, SettledVersions, StreamVersionTable } from 'knapweedshunt-attempts'
import type { StreamVersion } from 'knapweedshunt-attempts'
import type { DataCentreId, OrganisationName, PoolName, RequestId, VmId } from 'knapweedshunt-types'
import { groupBy, readElapsedMs } from 'knapweedshunt-utils'
import type { PoolVersionsRow } from '../directory/rosterRows.ts'
import type { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { PeerView } from './peerAddress.ts'
import { StreamAnnouncer } from './streamAnnouncer.ts'
import { findParamsSchema, findResultSchema, recordParamsSchema, versionsParamsSchema } from './streamMessages.ts'
import type { FindResult } from './streamMessages.ts'
import type { StreamOrigin } from './streamOrigin.ts'
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

/** A stream that a caller takes up again, or begins. */
export interface StreamIdentity {
  organisation: OrganisationName
  pool: PoolName
  /** Request that brings or brought its first event; null if the caller does not say. */
  firstRequestId: RequestId | null
}

/** Dependencies of {@link StreamOrigins}. */
export interface StreamOriginsDependencies {
  vm: VmId
  dataCentre: DataCentreId
  endpointRegistry: EndpointRegistry
  decisionLog: DecisionLog
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
 * is told to a few VMs, chosen by its key, before a caller can come back; any VM asks these. While they have one, nothing
 * is told.
 */
export class StreamOrigins {
  readonly #dependencies: StreamOriginsDependencies
  readonly #table: StreamVersionTable
  readonly #history: PoolVersionHistory
  readonly #settledVersions = new SettledVersions(SETTLE_MS)
  readonly #announcer: StreamAnnouncer
  readonly #notices: VersionNotices
  /** The only version of each pool; null while streams are told to other VMs. */
  readonly #onlyVersions = new Map<PoolName, string | null>()
  /** Monotonic time since which any VM has observed each pool, as far as this VM knows. */
  readonly #observedSinceMs = new Map<PoolName, number>()
  /** Time of the read that confirmed the endpoint table last, on the clock of {@link readElapsedMs}. */
  #confirmedAtMs = -Infinity
  /** Versions in each pool's row, as read or written last. */
  readonly #writtenVersions = new Map<PoolName, string>()
  #nextWriteAtMs = -Infinity

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
      this.#notices.announce(pool, this.#settledVersions.listUnsettled(pool))
      const onlyVersion = this.#findOnlyVersion(pool)
      if (onlyVersion === null && this.#onlyVersions.get(pool) !== null) for (const stream of this.#table.list(pool)) this.#announce(pool, stream)
      this.#onlyVersions.set(pool, onlyVersion)
    }
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

  /** Records the version that began a stream; must be called before its first event is forwarded. */
  recordBegan ({ organisation, pool, firstRequestId }: StreamIdentity, softwareVersion: string): void {
    if (firstRequestId === null) return
    const key = computeStreamKey(organisation, pool, firstRequestId)
    this.#table.record(key, pool, softwareVersion)
    if (this.#onlyVersions.get(pool) !== softwareVersion) this.#announce(pool, { key, softwareVersion })
  }

  /** Finds the version that began a stream. */
  async findOrigin ({ organisation, pool, firstRequestId }: StreamIdentity): Promise<StreamOrigin> {
    const key = computeStreamKey(organisation, pool, firstRequestId ?? '')
    const known = this.#table.find(key)
    if (known !== null) return { type: 'known', softwareVersion: known }
    const version = await this.#askHolders(pool, key)
    return version === null ? { type: 'unknown' } : { type: 'known', softwareVersion: version }
  }

  /** Handles `streams.record`. Throws ZodError on invalid params. */
  handleRecord (params: unknown): object {
    const { pool, streams } = recordParamsSchema.parse(params)
    for (const { key, softwareVersion } of streams) this.#table.record(key, pool, softwareVersion)
    return {}
  }

  /** Handles `streams.versions`. Throws ZodError on invalid params. */
  handleVersions (params: unknown): object {
    const { pool, softwareVersions } = versionsParamsSchema.parse(params)
    this.#history.recordPresent(pool, softwareVersions)
    return {}
  }

  /** Handles `streams.find`. Throws ZodError on invalid params. */
  handleFind (params: unknown): FindResult {
    const { pool, key } = findParamsSchema.parse(params)
    return { softwareVersion: this.#table.find(key), onlyVersion: this.#findOnlyVersion(pool) }
  }

  /** An endpoint table that is too old may lack a version. */
  #findOnlyVersion (pool: PoolName): string | null {
    return this.#dependencies.getEndpointsAgeMs() > MAX_ENDPOINTS_AGE_MS ? null : this.#history.findOnlyVersion(pool)
  }

  /** Time for which a version that is no longer present may have begun streams that are taken up again, in milliseconds. */
  get #historyMs (): number {
    return this.#dependencies.getRetentionMs() + MAX_LEAVING_MS
  }

  /** Whether no VM has observed a pool for long enough to take a version for the only one. */
  #isNewPool (pool: PoolName): boolean {
    return performance.now() - (this.#observedSinceMs.get(pool) ?? -Infinity) < this.#historyMs
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
    writePoolVersions({ pool, softwareVersions, changedAtMs: Date.now(), ...Number.isFinite(observedForMs) && { observedSinceMs: Date.now() - observedForMs } }).catch(error => {
      this.#writtenVersions.delete(pool)
      this.#nextWriteAtMs = performance.now() + WRITE_RETRY_MS
      decisionLog.record({ type: 'rowUnwritten', key: `versions of ${pool}`, reason: (error as Error).message })
    })
  }

  #announce (pool: PoolName, stream: StreamVersion): void {
    for (const view of this.#listHolders(stream.key)) this.#announcer.add(view, pool, stream)
  }

  #selectHolders (key: string): Array<Pick<PeerView, 'vm' | 'dataCentre'>> {
    const { vm, dataCentre, listPeers } = this.#dependencies
    return selectStreamHolders(key, [{ vm, dataCentre }, ...listPeers()])
  }

  /** Lists the other VMs among the holders of a stream. */
  #listHolders (key: string): PeerView[] {
    const holders = this.#selectHolders(key)
    return this.#dependencies.listPeers().filter(peer => holders.some(holder => holder.vm === peer.vm))
  }

  /** Whether so many holders of a stream know a version that those who do not are not most of them. */
  #isKnownToHolders (key: string, pool: PoolName, softwareVersion: string): boolean {
    const holders = this.#selectHolders(key)
    const peers = this.#dependencies.listPeers()
    const informed = holders.filter(({ vm }) => vm === this.#dependencies.vm || peers.some(peer => peer.vm === vm && this.#notices.isAcknowledged(peer, pool, softwareVersion)))
    return informed.length >= holders.length / 2
  }

  /** Resolves to the version that the first holder knows which knows any; if none does, to the only one that can have begun the stream, provided that most holders say so and this VM has seen no other: one that is cut off may not have seen the newest version. */
  async #askHolders (pool: PoolName, key: string): Promise<string | null> {
    const calls = this.#listHolders(key).map(view => this.#askHolder(view, pool, key))
    const firstKnown = await Promise.any(calls.map(async call => {
      const { softwareVersion } = await call
      if (softwareVersion === null) throw new Error('not known')
      return softwareVersion
    })).catch(() => null) // All holders answered without the stream, or not at all.
    if (firstKnown !== null) return firstKnown
    const holders = this.#selectHolders(key)
    const isHolder = holders.some(({ vm }) => vm === this.#dependencies.vm)
    const claims = [...(await Promise.all(calls)).map(({ onlyVersion }) => onlyVersion), isHolder ? this.#findOnlyVersion(pool) : null].filter(version => version !== null)
    return claims.length > holders.length / 2 && new Set(claims).size === 1 && !this.#history.hasOtherThan(pool, claims[0]) ? claims[0] : null
  }

  async #askHolder (view: PeerView, pool: PoolName, key: string): Promise<FindResult> {
    try {
      return findResultSchema.parse(await this.#dependencies.call(view, 'streams.find', { pool, key }))
    } catch (error) {
      this.#dependencies.decisionLog.record({ type: 'streamUnasked', vm: view.vm, reason: (error as Error).message })
      return NOTHING_FOUND
    }
  }
}

const NOTHING_FOUND: FindResult = { softwareVersion: null, onlyVersion: null }
