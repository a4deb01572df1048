import type { PoolObjective } from 'knapweedshunt-types'

/** How the parts of a cost weigh against each other. */
export interface ObjectiveWeights {
  /** Share of an endpoint's prefill rate that one key may fill before its subset grows. */
  carriedShare: number
  /** Weight of the wait; 1 is that of tokens to compute. */
  wait: number
  /** Worth of computing a prefix where later requests will look for it, as a share of its tokens. */
  shared: number
  /** Wait above the mean that is borne before a request spills, as a multiple of the mean. */
  spillFactor: number
  /** Wait that is always borne, in milliseconds. */
  spillFloorMs: number
  /** Local wait at which another data centre is looked at, in milliseconds. */
  remoteMs: number
}

/** Weights by objective; a pool that puts reuse first weighs short and long jobs differently. */
export interface ObjectiveTable {
  tail: ObjectiveWeights
  reuseShort: ObjectiveWeights
  reuseLong: ObjectiveWeights
}

const TAIL: ObjectiveWeights = { carriedShare: 0.15, wait: 1, shared: 0.25, spillFactor: 1.5, spillFloorMs: 500, remoteMs: 1_000 }
const REUSE_SHORT: ObjectiveWeights = { carriedShare: 1, wait: 0.4, shared: 0.5, spillFactor: 4, spillFloorMs: 2_000, remoteMs: 4_000 }
const REUSE_LONG: ObjectiveWeights = { carriedShare: 1, wait: 0.1, shared: 0.5, spillFactor: 6, spillFloorMs: 6_000, remoteMs: 10_000 }

/** Weights for engines that compute some thousand prompt tokens a second. */
export const DEFAULT_OBJECTIVES: ObjectiveTable = { tail: TAIL, reuseShort: REUSE_SHORT, reuseLong: REUSE_LONG }

/** Finds the weights for a pool's objective and a request's job. */
export function findObjectiveWeights (table: ObjectiveTable, objective: PoolObjective, job: 'short' | 'long'): ObjectiveWeights {
  if (objective === 'tail') return table.tail
  return job === 'long' ? table.reuseLong : table.reuseShort
}

/** Finds the share for a pool's objective; the same for all its jobs, so that they agree on subsets. */
export function findCarriedShare (table: ObjectiveTable, objective: PoolObjective): number {
  return findObjectiveWeights(table, objective, 'short').carriedShare
}
