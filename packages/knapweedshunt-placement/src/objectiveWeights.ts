import type { PoolObjective } from 'knapweedshunt-types'

/** Weights and thresholds of the cost terms for one objective. */
export interface ObjectiveWeights {
  /** Share of an endpoint's prefill rate that one key may use before its subset grows. */
  maxKeyShare: number
  /** Weight of the wait, relative to that of tokens to compute, which is 1. */
  waitWeight: number
  /** Cost reduction for an endpoint in the subset of a prefix, where later requests find it cached, as a share of the tokens of the prefix. */
  sharedPrefixWeight: number
  /** Maximum wait before a request spills over to another endpoint, as a multiple of the mean wait of the group. */
  spillFactor: number
  /** Wait added to that maximum, in milliseconds, so that no request spills over at low load. */
  spillFloorMs: number
  /** Local wait above which other data centres are considered, in milliseconds. */
  remoteWaitThresholdMs: number
}

/** Weights by objective; for the objective reuse they differ between short and long jobs. */
export interface ObjectiveTable {
  tail: ObjectiveWeights
  reuseShort: ObjectiveWeights
  reuseLong: ObjectiveWeights
}

const TAIL: ObjectiveWeights = { maxKeyShare: 0.15, waitWeight: 1, sharedPrefixWeight: 0.25, spillFactor: 1.5, spillFloorMs: 500, remoteWaitThresholdMs: 1_000 }
const REUSE_SHORT: ObjectiveWeights = { maxKeyShare: 1, waitWeight: 0.4, sharedPrefixWeight: 0.5, spillFactor: 4, spillFloorMs: 2_000, remoteWaitThresholdMs: 4_000 }
const REUSE_LONG: ObjectiveWeights = { maxKeyShare: 1, waitWeight: 0.1, sharedPrefixWeight: 0.5, spillFactor: 6, spillFloorMs: 6_000, remoteWaitThresholdMs: 10_000 }

/** Default weights, for engines that compute several thousand prompt tokens per second. */
export const DEFAULT_OBJECTIVES: ObjectiveTable = { tail: TAIL, reuseShort: REUSE_SHORT, reuseLong: REUSE_LONG }

/** Finds the weights for the objective of a pool and the job length of a request. */
export function findObjectiveWeights (table: ObjectiveTable, objective: PoolObjective, job: 'short' | 'long'): ObjectiveWeights {
  if (objective === 'tail') return table.tail
  return job === 'long' ? table.reuseLong : table.reuseShort
}

/** Finds the maximum load share of a key for the objective of a pool; the same for short and long jobs, so that they use the same subsets. */
export function findMaxKeyShare (table: ObjectiveTable, objective: PoolObjective): number {
  return findObjectiveWeights(table, objective, 'short').maxKeyShare
}
