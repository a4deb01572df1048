import type { DataCentreId, ResourceOf, ResourceSnapshot } from 'knapweedshunt-types'
import { listPoolGoals } from './poolGoal.ts'
import type { PoolGoal } from './poolGoal.ts'

/** A model pool with endpoints in this VM's data centre. */
export interface PoolStep {
  goal: PoolGoal
  /** The pool's endpoints in this data centre. */
  own: Array<ResourceOf<'Endpoint'>>
  /** Other data centres with endpoints of the pool. */
  others: DataCentreId[]
}

/** The model pools of one data centre, built anew only when the snapshot is another one. */
export class PoolIndex {
  readonly #dataCentre: DataCentreId
  #snapshot: ResourceSnapshot | null = null
  #steps: PoolStep[] = []

  constructor (dataCentre: DataCentreId) {
    this.#dataCentre = dataCentre
  }

  /** Lists the pools as of a snapshot. */
  listSteps (snapshot: ResourceSnapshot): PoolStep[] {
    if (snapshot !== this.#snapshot) {
      this.#snapshot = snapshot
      this.#steps = this.#buildSteps(snapshot)
    }
    return this.#steps
  }

  #buildSteps (snapshot: ResourceSnapshot): PoolStep[] {
    const endpoints = snapshot.resources.filter(resource => resource.kind === 'Endpoint')
    return listPoolGoals(snapshot.resources).flatMap(goal => {
      const members = endpoints.filter(endpoint => endpoint.spec.pool === goal.pool)
      const own = members.filter(endpoint => endpoint.spec.dataCentre === this.#dataCentre)
      const others = new Set(members.map(endpoint => endpoint.spec.dataCentre).filter(name => name !== this.#dataCentre))
      return own.length === 0 ? [] : [{ goal, own, others: [...others] }]
    })
  }
}
