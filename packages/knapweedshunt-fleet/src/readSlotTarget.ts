import type { PoolGoal } from './poolGoal.ts'
import type { SlotPurpose } from './rolloutState.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Returns the weights that an endpoint in a slot is to load: the roll-out's for a move, those in force for a recovery. */
export function readSlotTarget (goal: PoolGoal, purpose: SlotPurpose): WeightsTarget {
  return purpose === 'move' ? goal.target : goal.inForce
}
