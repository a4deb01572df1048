import type { PoolObjective } from 'knapweedshunt-types'

/** Weights and thresholds of the cost terms for one objective. */
export interface ObjectiveWeights {
  /** Share of an endpoint's prefill rate that one key may use before its subset grows. */
  carriedShare: number
  /** Weight of the wait, relative to that of tokens to compute, which is 1. */
  wait: number
  /** Cost reduction for an endpoint in the subset of a prefix, where later requests find it cached, as a share of the tokens of the prefix. */
  shared: number
  /** Maximum wait before a request spills over to another endpoint, as a multiple of the mean wait of the group. */
  spillFactor: number
  /** Wait added to that maximum, in milliseconds, so that no request spills over at low load. */
  spillFloorMs: number
  /** Local wait above which other data centres are considered, in milliseconds. */
  remoteMs: number
}

/** Weights by objective; for the objective reuse they differ between short and long jobs. */
export interface ObjectiveTable {
  tail: ObjectiveWeights
  reuseShort: ObjectiveWeights
  reuseLong: ObjectiveWeights
}

const TAIL: ObjectiveWeights = { carriedShare: 0.15, wait: 1, shared: 0.25, spillFactor: 1.5, spillFloorMs: 500, remoteMs: 1_000 }
const REUSE_SHORT: ObjectiveWeights = { carriedShare: 1, wait: 0.4, shared: 0.5, spillFactor: 4, spillFloorMs: 2_000, remoteMs: 4_000 }
const REUSE_LONG: ObjectiveWeights = { carriedShare: 1, wait: 0.1, shared: 0.5, spillFactor: 6, spillFloorMs: 6_000, remoteMs: 10_000 }

/** Default weights, for engines that compute several thousand prompt tokens per second. */
export const DEFAULT_OBJECTIVES: ObjectiveTable = { tail: TAIL, reuseShort: REUSE_SHORT, reuseLong: REUSE_LONG }

/** Finds the weights for the objective of a pool and the job length of a request. */
export function findObjectiveWeights (table: ObjectiveTable, objective: PoolObjective, job: 'short' | 'long'): ObjectiveWeights {
  if (objective === 'tail') return table.tail
  return job === 'long' ? table.reuseLong : table.reuseShort
}

/** Finds the maximum load share of a key for the objective of a pool; the same for short and long jobs, so that they use the same subsets. */
export function findMaxKeyShare (table: ObjectiveTable, objective: PoolObjective): number {
  return findObjectiveWeights(table, objective, 'short').carriedShare
}
