import type { DataCentreId, EndpointName, Incarnation, PoolName, Revision } from 'knapweedshunt-types'

/** Table of roll-out state, one row per pool. */
export const ROLLOUT_TABLE = 'rollouts'

/** Why an endpoint is out of service: to load the roll-out's weights, or to reload those in force. */
export type SlotPurpose = 'move' | 'recover'

/** One of the pool's parallel loads. Claimed before the endpoint is drained and released when it serves again. */
export interface LoadSlot {
  endpoint: EndpointName
  incarnation: Incarnation
  dataCentre: DataCentreId
  purpose: SlotPurpose
}

/** Progress of one data centre, as last written by its lease holder. */
export interface DataCentreProgress {
  dataCentre: DataCentreId
  /** Key of the goal that the counts refer to. */
  goalKey: string
  /** Endpoints that are neither being drained by an operator nor unreachable. */
  total: number
  /** Of those, endpoints that serve with the target weights. */
  moved: number
  /** Endpoints that serve, with any weights, except those in slots. */
  inService: number
}

/** Consecutive failed loads of one goal. */
export interface LoadFailures {
  goalKey: string
  inRow: number
}

/** Durable state of one pool's loads, from which any lease holder can continue. */
export interface RolloutRow {
  slots: LoadSlot[]
  failures: LoadFailures
  dataCentres: DataCentreProgress[]
  /** Key of the last goal whose roll-out is complete. That roll-out no longer applies, even if the pool is changed later. */
  completedKey: string
  /** Newest resource revision that this row is based on; a holder whose replica is older waits. */
  revision: Revision
}

/** State of a pool that has no row yet. */
export const EMPTY_ROLLOUT_ROW: RolloutRow = { slots: [], failures: { goalKey: '', inRow: 0 }, dataCentres: [], completedKey: '', revision: 0 }

/** Builds the key of a pool's row. */
export function buildRolloutKey (pool: PoolName): string {
  return `pool/${pool}`
}
