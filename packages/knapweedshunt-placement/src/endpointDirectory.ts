import type { EndpointName, EndpointView, PoolName, ResourceSnapshot, RouterSnapshot } from 'knapweedshunt-types'
import { EndpointRecord } from './endpointRecord.ts'
import type { ServingIdentity } from './endpointRecord.ts'
import type { NearDataCentres } from './nearDataCentres.ts'
import type { PlacementOptions } from './placementOptions.ts'
import { PoolState } from './poolState.ts'

/** Declared endpoints and pools. The groups of a pool are rebuilt on updates, so that placing a request needs no search. */
export class EndpointDirectory {
  readonly #nearDataCentres: NearDataCentres
  readonly #options: PlacementOptions
  readonly #records = new Map<EndpointName, EndpointRecord>()
  readonly #pools = new Map<PoolName, PoolState>()
  #revision = -1
  #avoided = new Set<EndpointName>()

  constructor (nearDataCentres: NearDataCentres, options: PlacementOptions) {
    this.#nearDataCentres = nearDataCentres
    this.#options = options
  }

  /** Finds a pool that is declared or has endpoints. */
  findPool (pool: PoolName): PoolState | undefined {
    return this.#pools.get(pool)
  }

  /** Finds a declared endpoint. */
  findRecord (endpoint: EndpointName): EndpointRecord | undefined {
    return this.#records.get(endpoint)
  }

  /** Applies a snapshot; resources whose revision is not newer than the last one are ignored. */
  applySnapshot (snapshot: RouterSnapshot, nowMs: number): void {
    const changed = new Set<PoolState>()
    if (snapshot.resources.revision > this.#revision) this.#applyResources(snapshot.resources, changed)
    for (const view of snapshot.endpoints) this.#applyView(view, nowMs, changed)
    this.#applyAvoided(new Set(snapshot.avoided), changed)
    for (const pool of changed) pool.rebuildGroups(this.#nearDataCentres)
  }

  /** Updates the incarnation, weights and adapter of an endpoint from its own response. */
  updateIdentity (endpoint: EndpointName, identity: ServingIdentity, nowMs: number): void {
    const record = this.#records.get(endpoint)
    if (record === undefined) return
    const before = record.state
    record.updateIdentity(identity, nowMs)
    if (record.state !== before) this.#pools.get(record.state.spec.pool)?.rebuildGroups(this.#nearDataCentres)
  }

  #applyView (view: EndpointView, nowMs: number, changed: Set<PoolState>): void {
    const record = this.#records.get(view.endpoint)
    if (record === undefined) return
    const before = record.state
    const wasUsable = before.isUsable
    record.applyView(view, nowMs)
    const pool = this.#pools.get(record.state.spec.pool)
    if (pool !== undefined && (record.state !== before || record.state.isUsable !== wasUsable)) changed.add(pool)
  }

  #applyAvoided (avoided: Set<EndpointName>, changed: Set<PoolState>): void {
    for (const name of new Set([...this.#avoided, ...avoided])) {
      const record = this.#records.get(name)
      if (record === undefined || record.state.isAvoided === avoided.has(name)) continue
      record.state.isAvoided = avoided.has(name)
      const pool = this.#pools.get(record.state.spec.pool)
      if (pool !== undefined) changed.add(pool)
    }
    this.#avoided = avoided
  }

  #applyResources ({ revision, resources }: ResourceSnapshot, changed: Set<PoolState>): void {
    this.#revision = revision
    const declared = new Set<EndpointName>()
    for (const pool of this.#pools.values()) Object.assign(pool, { spec: null, records: [] })
    for (const resource of resources) {
      if (resource.kind === 'EndpointPool') this.#getOrCreatePool(resource.name).spec = resource.spec
      if (resource.kind !== 'Endpoint') continue
      declared.add(resource.name)
      const record = this.#records.get(resource.name) ?? new EndpointRecord(resource.name, resource.spec, this.#options)
      record.updateSpec(resource.spec)
      this.#records.set(resource.name, record)
      this.#getOrCreatePool(resource.spec.pool).records.push(record)
    }
    for (const name of this.#records.keys()) if (!declared.has(name)) this.#records.delete(name)
    for (const pool of this.#pools.values()) {
      if (pool.spec === null && pool.records.length === 0) this.#pools.delete(pool.pool)
      changed.add(pool)
    }
  }

  #getOrCreatePool (name: PoolName): PoolState {
    const pool = this.#pools.get(name) ?? new PoolState(name, this.#options.observationTtlMs)
    this.#pools.set(name, pool)
    return pool
  }
}
