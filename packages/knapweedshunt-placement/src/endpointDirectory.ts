import type { EndpointName, EndpointView, PoolName, ResourceSnapshot, RouterSnapshot } from 'knapweedshunt-types'
import { EndpointRecord } from './endpointRecord.ts'
import type { ServingIdentity } from './endpointRecord.ts'
import type { NearDataCentres } from './nearDataCentres.ts'
import type { PlacementOptions } from './placementOptions.ts'
import { PoolState } from './poolState.ts'

/** Endpoints and pools, arranged when news comes so that requests need not search. */
export class EndpointDirectory {
  readonly #near: NearDataCentres
  readonly #options: PlacementOptions
  readonly #records = new Map<EndpointName, EndpointRecord>()
  readonly #pools = new Map<PoolName, PoolState>()
  #revision = -1
  #avoided = new Set<EndpointName>()

  constructor (near: NearDataCentres, options: PlacementOptions) {
    this.#near = near
    this.#options = options
  }

  /** A pool that is declared or has endpoints. */
  findPool (pool: PoolName): PoolState | undefined {
    return this.#pools.get(pool)
  }

  /** A declared endpoint. */
  findRecord (endpoint: EndpointName): EndpointRecord | undefined {
    return this.#records.get(endpoint)
  }

  /** Takes a snapshot; resources of an older revision are ignored. */
  takeSnapshot (snapshot: RouterSnapshot, nowMs: number): void {
    const changed = new Set<PoolState>()
    if (snapshot.resources.revision > this.#revision) this.#takeResources(snapshot.resources, changed)
    for (const view of snapshot.endpoints) this.#takeView(view, nowMs, changed)
    this.#takeAvoided(new Set(snapshot.avoided), changed)
    for (const pool of changed) pool.buildGroups(this.#near)
  }

  /** Takes what an endpoint itself said of who serves. */
  takeIdentity (endpoint: EndpointName, identity: ServingIdentity, nowMs: number): void {
    const record = this.#records.get(endpoint)
    if (record === undefined) return
    const before = record.state
    record.takeIdentity(identity, nowMs)
    if (record.state !== before) this.#pools.get(record.state.spec.pool)?.buildGroups(this.#near)
  }

  #takeView (view: EndpointView, nowMs: number, changed: Set<PoolState>): void {
    const record = this.#records.get(view.endpoint)
    if (record === undefined) return
    const before = record.state
    const wasUsable = before.isUsable
    record.takeView(view, nowMs)
    const pool = this.#pools.get(record.state.spec.pool)
    if (pool !== undefined && (record.state !== before || record.state.isUsable !== wasUsable)) changed.add(pool)
  }

  #takeAvoided (avoided: Set<EndpointName>, changed: Set<PoolState>): void {
    for (const name of new Set([...this.#avoided, ...avoided])) {
      const record = this.#records.get(name)
      if (record === undefined || record.state.isAvoided === avoided.has(name)) continue
      record.state.isAvoided = avoided.has(name)
      const pool = this.#pools.get(record.state.spec.pool)
      if (pool !== undefined) changed.add(pool)
    }
    this.#avoided = avoided
  }

  #takeResources ({ revision, resources }: ResourceSnapshot, changed: Set<PoolState>): void {
    this.#revision = revision
    const declared = new Set<EndpointName>()
    for (const pool of this.#pools.values()) Object.assign(pool, { spec: null, records: [] })
    for (const resource of resources) {
      if (resource.kind === 'EndpointPool') this.#openPool(resource.name).spec = resource.spec
      if (resource.kind !== 'Endpoint') continue
      declared.add(resource.name)
      const record = this.#records.get(resource.name) ?? new EndpointRecord(resource.name, resource.spec, this.#options)
      record.takeSpec(resource.spec)
      this.#records.set(resource.name, record)
      this.#openPool(resource.spec.pool).records.push(record)
    }
    for (const name of this.#records.keys()) if (!declared.has(name)) this.#records.delete(name)
    for (const pool of this.#pools.values()) {
      if (pool.spec === null && pool.records.length === 0) this.#pools.delete(pool.pool)
      changed.add(pool)
    }
  }

  #openPool (name: PoolName): PoolState {
    const pool = this.#pools.get(name) ?? new PoolState(name, this.#options.evidenceMs)
    this.#pools.set(name, pool)
    return pool
  }
}
