import type { DataCentreId, ResourceOf, ResourceSnapshot } from 'knapweedshunt-types'
import { listPoolGoals } from './poolGoal.ts'
import type { PoolGoal } from './poolGoal.ts'

/** A model pool with endpoints in this VM's data centre. */
export interface LocalPool {
  goal: PoolGoal
  /** The pool's endpoints in this data centre. */
  localEndpoints: Array<ResourceOf<'Endpoint'>>
  /** Other data centres with endpoints of the pool. */
  peerDataCentres: DataCentreId[]
}

/** Index of one data centre's model pools, rebuilt only when the resource snapshot changes. */
export class PoolIndex {
  readonly #dataCentre: DataCentreId
  #snapshot: ResourceSnapshot | null = null
  #pools: LocalPool[] = []

  constructor (dataCentre: DataCentreId) {
    this.#dataCentre = dataCentre
  }

  /** Lists the pools of a snapshot that have endpoints in this data centre. */
  listPools (snapshot: ResourceSnapshot): LocalPool[] {
    if (snapshot !== this.#snapshot) {
      this.#snapshot = snapshot
      this.#pools = this.#buildPools(snapshot)
    }
    return this.#pools
  }

  #buildPools (snapshot: ResourceSnapshot): LocalPool[] {
    const endpoints = snapshot.resources.filter(resource => resource.kind === 'Endpoint')
    return listPoolGoals(snapshot.resources).flatMap(goal => {
      const members = endpoints.filter(endpoint => endpoint.spec.pool === goal.pool)
      const localEndpoints = members.filter(endpoint => endpoint.spec.dataCentre === this.#dataCentre)
      const peerDataCentres = new Set(members.map(endpoint => endpoint.spec.dataCentre).filter(name => name !== this.#dataCentre))
      return localEndpoints.length === 0 ? [] : [{ goal, localEndpoints, peerDataCentres: [...peerDataCentres] }]
    })
  }
}
