import type { DataCentreId, EndpointPoolSpec, PoolName, PoolObjective } from 'knapweedshunt-types'
import { CacheLife } from './cacheLife.ts'
import { EndpointGroup } from './endpointGroup.ts'
import type { EndpointRecord } from './endpointRecord.ts'
import type { NearDataCentres } from './nearDataCentres.ts'
import type { EndpointState } from './endpointState.ts'

/** One pool's usable endpoints, grouped by data centre; near data centres are one group. */
export class PoolState {
  readonly pool: PoolName
  /** Null while no pool of the name is declared. */
  spec: EndpointPoolSpec | null = null
  records: EndpointRecord[] = []
  /** How long a prefix stays cached. */
  readonly cacheLife: CacheLife
  #groups = new Map<DataCentreId, EndpointGroup>()

  constructor (pool: PoolName, evidenceMs: number) {
    this.pool = pool
    this.cacheLife = new CacheLife(evidenceMs)
  }

  /** Group of a data centre, if any endpoint there is usable. */
  findGroup (dataCentre: DataCentreId): EndpointGroup | undefined {
    return this.#groups.get(dataCentre)
  }

  /** What the pool weighs most; plain services go by the tail. */
  get objective (): PoolObjective {
    return this.spec?.type === 'model' ? this.spec.objective : 'tail'
  }

  /** Whether any endpoint may get new work. */
  get hasUsable (): boolean {
    return this.#groups.size > 0
  }

  /** All groups. */
  listGroups (): EndpointGroup[] {
    return [...this.#groups.values()]
  }

  /** Whether the endpoint's cache can hold what the pool's present keys name. */
  hasWeights (state: EndpointState): boolean {
    if (this.spec?.type !== 'model' || state.incarnation === '') return false
    return state.weightsVersion === this.spec.weightsVersion && state.adapter === (this.spec.adapter ?? '')
  }

  /** Whether nothing speaks against the pool's weights there: an endpoint that was not heard of yet may hold what its rank says, so that a restarted router places as its peers do. */
  mayHaveWeights (state: EndpointState): boolean {
    return this.spec?.type === 'model' && (state.incarnation === '' || this.hasWeights(state))
  }

  /** Groups the usable endpoints anew; groups that did not change stay the same objects. */
  buildGroups (near: NearDataCentres): void {
    const members = new Map<DataCentreId, EndpointState[]>()
    for (const { state } of this.records) {
      if (!state.isUsable) continue
      const dataCentre = near.findGroup(state.spec.dataCentre)
      const group = members.get(dataCentre)
      if (group === undefined) members.set(dataCentre, [state])
      else group.push(state)
    }
    const before = this.#groups
    this.#groups = new Map([...members].map(([dataCentre, states]) => [dataCentre, buildGroup(before.get(dataCentre), dataCentre, states)]))
  }
}

function buildGroup (before: EndpointGroup | undefined, dataCentre: DataCentreId, states: EndpointState[]): EndpointGroup {
  return before?.isSame(states) ? before : new EndpointGroup(dataCentre, states)
}
