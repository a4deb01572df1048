import type { PoolName, WeightsVersion } from './ids.ts'

/** Spec of a roll-out, which moves a pool's endpoints from the weights version in force to another. */
export interface WeightsRolloutSpec {
  pool: PoolName
  weightsVersion: WeightsVersion
  adapter?: string
  paused: boolean
  /** Rolls back: returns the endpoints to the pool's version in force. */
  undo: boolean
}
