import type { PoolGoal } from './poolGoal.ts'
import type { SlotPurpose } from './rolloutState.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Weights that an endpoint in a slot is to get. */
export function readWished (goal: PoolGoal, purpose: SlotPurpose): WeightsTarget {
  return purpose === 'move' ? goal.target : goal.inForce
}
