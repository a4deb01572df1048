import type { DataCentreId, EndpointName, Incarnation, PoolName, Revision } from 'knapweedshunt-types'

/** Table with one row per pool. */
export const ROLLOUT_TABLE = 'rollouts'

/** Why an endpoint is out: to move to the roll-out's weights, or to get back those in force. */
export type SlotPurpose = 'move' | 'recover'

/** One of the pool's parallel loads, claimed before the endpoint is drained and freed when it serves again. */
export interface LoadSlot {
  endpoint: EndpointName
  incarnation: Incarnation
  dataCentre: DataCentreId
  purpose: SlotPurpose
}

/** How far one data centre is, as its lease holder last wrote. */
export interface DataCentreProgress {
  dataCentre: DataCentreId
  /** Key of the goal that the counts are for. */
  goalKey: string
  /** Endpoints not drained by an operator and not dead. */
  total: number
  /** Of those, endpoints that serve with the target's weights. */
  moved: number
  /** Endpoints that serve, whatever their weights, without those in slots. */
  inService: number
}

/** Loads of one goal that failed one after another. */
export interface LoadFailures {
  goalKey: string
  inRow: number
}

/** Durable state of one pool's loads; any lease holder goes on from it. */
export interface RolloutRow {
  slots: LoadSlot[]
  failures: LoadFailures
  dataCentres: DataCentreProgress[]
  /** Key of the last goal whose roll-out is complete; it decides no more, whatever the pool is changed to later. */
  completedKey: string
  /** Newest resource revision that decided this row; a holder whose replica is older waits. */
  revision: Revision
}

/** Row of a pool that never loaded anything. */
export const EMPTY_ROLLOUT_ROW: RolloutRow = { slots: [], failures: { goalKey: '', inRow: 0 }, dataCentres: [], completedKey: '', revision: 0 }

/** Key of a pool's row. */
export function nameRollout (pool: PoolName): string {
  return `pool/${pool}`
}
