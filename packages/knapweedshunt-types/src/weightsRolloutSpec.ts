import type { PoolName, WeightsVersion } from './ids.ts'

/** Moves a pool's endpoints from its version in force to another. */
export interface WeightsRolloutSpec {
  pool: PoolName
  weightsVersion: WeightsVersion
  adapter?: string
  paused: boolean
  /** Bring the endpoints back to the pool's version. */
  undo: boolean
}
