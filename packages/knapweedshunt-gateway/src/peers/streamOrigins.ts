import { computeStreamKey, PoolVersionHistory, selectStreamHolders, StreamVersionTable } from 'knapweedshunt-attempts'
import type { StreamVersion } from 'knapweedshunt-attempts'
import type { DataCentreId, OrganisationName, PoolName, RequestId, VmId } from 'knapweedshunt-types'
import { groupBy } from 'knapweedshunt-utils'
import type { PoolVersionsRow } from '../directory/rosterRows.ts'
import type { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { PeerView } from './peerAddress.ts'
import { StreamAnnouncer } from './streamAnnouncer.ts'
import { findParamsSchema, findResultSchema, recordParamsSchema } from './streamMessages.ts'
import type { FindResult } from './streamMessages.ts'
import type { StreamOrigin } from './streamOrigin.ts'

/** Age of the endpoint table up to which it shows all software versions that serve, in milliseconds; over two long polls. */
const MAX_ENDPOINTS_AGE_MS = 4_000

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
  readonly #announcer: StreamAnnouncer
  /** Pools whose streams are told to other VMs. */
  readonly #announcedPools = new Set<PoolName>()
  /** Versions in each pool's row, as read or written last. */
  readonly #writtenVersions = new Map<PoolName, string>()
  #nextWriteAtMs = -Infinity

  constructor (dependencies: StreamOriginsDependencies) {
    this.#dependencies = dependencies
    this.#table = new StreamVersionTable(dependencies.getRetentionMs)
    this.#history = new PoolVersionHistory(() => dependencies.getRetentionMs() + MAX_LEAVING_MS)
    this.#announcer = new StreamAnnouncer({
      ...dependencies,
      onFailed: (vm, reason) => dependencies.decisionLog.record({ type: 'streamsUntold', vm, reason })
    })
  }

  /** Number of streams whose software version this VM knows. */
  get count (): number {
    return this.#table.size
  }

  /** Records the software versions that the endpoints of each pool have now. If a pool has several all of a sudden, the streams that may be taken up again are told too. */
  updateVersions (): void {
    for (const [pool, records] of groupBy(this.#dependencies.endpointRegistry.list(), ({ entry }) => entry.pool)) {
      const versions = [...new Set(records.map(({ entry }) => entry.softwareVersion))].sort()
      this.#history.recordPresent(pool, versions)
      this.#writeIfChanged(pool, versions)
      const isAnnounced = this.#findOnlyVersion(pool) === null
      if (isAnnounced && !this.#announcedPools.has(pool)) for (const stream of this.#table.list(pool)) this.#announce(pool, stream)
      if (isAnnounced) this.#announcedPools.add(pool)
      else this.#announcedPools.delete(pool)
    }
  }

  /** Applies the versions of a pool that another VM, or this one before it restarted, has written. */
  applyPoolVersions ({ pool, softwareVersions, changedAtMs }: PoolVersionsRow): void {
    this.#writtenVersions.set(pool, softwareVersions.join())
    if (this.#history.findOnlyVersion(pool) !== null) return
    const ageMs = Math.max(0, Date.now() - changedAtMs - MAX_CLOCK_SKEW_MS)
    this.#history.adopt(pool, softwareVersions, performance.now() - ageMs)
  }

  /** Records the version that began a stream; must be called before its first event is forwarded. */
  recordBegan ({ organisation, pool, firstRequestId }: StreamIdentity, softwareVersion: string): void {
    if (firstRequestId === null) return
    const key = computeStreamKey(organisation, pool, firstRequestId)
    this.#table.record(key, pool, softwareVersion)
    // Another VM, which relayed the stream, may have sent it to a version that this one has not seen.
    if (this.#announcedPools.has(pool) || this.#history.findOnlyVersion(pool) !== softwareVersion) this.#announce(pool, { key, softwareVersion })
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

  /** Handles `streams.find`. Throws ZodError on invalid params. */
  handleFind (params: unknown): FindResult {
    const { pool, key } = findParamsSchema.parse(params)
    return { softwareVersion: this.#table.find(key), onlyVersion: this.#findOnlyVersion(pool) }
  }

  /** An endpoint table that is too old may lack a version. */
  #findOnlyVersion (pool: PoolName): string | null {
    return this.#dependencies.getEndpointsAgeMs() > MAX_ENDPOINTS_AGE_MS ? null : this.#history.findOnlyVersion(pool)
  }

  #writeIfChanged (pool: PoolName, softwareVersions: string[]): void {
    const { isVersionsWriter, writePoolVersions, decisionLog } = this.#dependencies
    const previous = this.#writtenVersions.get(pool)
    if (previous === softwareVersions.join() || performance.now() < this.#nextWriteAtMs || !isVersionsWriter()) return
    this.#writtenVersions.set(pool, softwareVersions.join())
    writePoolVersions({ pool, softwareVersions, changedAtMs: Date.now() }).catch(error => {
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

  /** Resolves to the version that the first holder knows which knows any; if none does, to the only one that can have begun the stream, provided that most holders say so: one that is cut off may not have seen the newest version. */
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
    return claims.length > holders.length / 2 && new Set(claims).size === 1 ? claims[0] : null
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
