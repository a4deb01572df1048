import type { DataCentreId, EndpointPoolSpec, PoolName, PoolObjective } from 'knapweedshunt-types'
import { CacheLifetime } from './cacheLifetime.ts'
import { EndpointGroup } from './endpointGroup.ts'
import type { EndpointRecord } from './endpointRecord.ts'
import type { NearDataCentres } from './nearDataCentres.ts'
import type { EndpointState } from './endpointState.ts'

/** Usable endpoints of one pool, grouped by data centre; near data centres form one group. */
export class PoolState {
  readonly pool: PoolName
  /** Null while no pool of this name is declared. */
  spec: EndpointPoolSpec | null = null
  records: EndpointRecord[] = []
  /** Estimate of how long a prefix stays cached on the endpoints of the pool. */
  readonly cacheLifetime: CacheLifetime
  #groups = new Map<DataCentreId, EndpointGroup>()

  constructor (pool: PoolName, evidenceMs: number) {
    this.pool = pool
    this.cacheLifetime = new CacheLifetime(evidenceMs)
  }

  /** Finds the group of a data centre; undefined if no endpoint there is usable. */
  findGroup (dataCentre: DataCentreId): EndpointGroup | undefined {
    return this.#groups.get(dataCentre)
  }

  /** Objective of the pool; `tail` for plain services. */
  get objective (): PoolObjective {
    return this.spec?.type === 'model' ? this.spec.objective : 'tail'
  }

  /** Whether any endpoint of the pool may receive new requests. */
  get hasUsableEndpoint (): boolean {
    return this.#groups.size > 0
  }

  /** Lists the groups of all data centres. */
  listGroups (): EndpointGroup[] {
    return [...this.#groups.values()]
  }

  /** Whether the endpoint has the weights version and adapter of the pool, so that its cache can contain prefixes of the pool's current keys. */
  hasWeights (state: EndpointState): boolean {
    if (this.spec?.type !== 'model' || state.incarnation === '') return false
    return state.weightsVersion === this.spec.weightsVersion && state.adapter === (this.spec.adapter ?? '')
  }

  /** Like {@link hasWeights}, but also true for an endpoint without any report yet: it may have cached what the ranking assigns to it, so that a restarted router places like its peers. */
  mayHaveWeights (state: EndpointState): boolean {
    return this.spec?.type === 'model' && (state.incarnation === '' || this.hasWeights(state))
  }

  /** Rebuilds the groups of usable endpoints; a group that did not change stays the same object. */
  rebuildGroups (nearDataCentres: NearDataCentres): void {
    const members = new Map<DataCentreId, EndpointState[]>()
    for (const { state } of this.records) {
      if (!state.isUsable) continue
      const dataCentre = nearDataCentres.resolveDataCentre(state.spec.dataCentre)
      const group = members.get(dataCentre)
      if (group === undefined) members.set(dataCentre, [state])
      else group.push(state)
    }
    const before = this.#groups
    this.#groups = new Map([...members].map(([dataCentre, states]) => [dataCentre, reuseOrBuildGroup(before.get(dataCentre), dataCentre, states)]))
  }
}

function reuseOrBuildGroup (before: EndpointGroup | undefined, dataCentre: DataCentreId, states: EndpointState[]): EndpointGroup {
  return before?.hasSameMembers(states) ? before : new EndpointGroup(dataCentre, states)
}
