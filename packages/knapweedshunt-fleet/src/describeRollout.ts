import type { StatusCondition } from 'knapweedshunt-types'
import { applyCompletedRollout } from './poolGoal.ts'
import type { PoolGoal } from './poolGoal.ts'
import type { PlannerOptions } from './plannerTypes.ts'
import type { RolloutRow } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'

/** Values of `reason` in a roll-out's `Progress` condition. */
export const ROLLOUT_REASONS = ['Complete', 'Undone', 'Undoing', 'Paused', 'Halted', 'FloorReached', 'Running'] as const

/** One of {@link ROLLOUT_REASONS}. */
export type RolloutReason = typeof ROLLOUT_REASONS[number]

/** Builds a roll-out's `Progress` condition from the pool's goal and durable row; its status is `true` once the roll-out is complete or undone. */
export function describeRollout (goal: PoolGoal, row: RolloutRow, options: PlannerOptions): StatusCondition {
  const reason = determineReason(goal, row, options)
  const isDone = reason === 'Complete' || reason === 'Undone'
  return { type: 'Progress', status: isDone ? 'true' : 'false', reason, message: buildMessage(goal, row) }
}

function determineReason (goal: PoolGoal, row: RolloutRow, options: PlannerOptions): RolloutReason {
  const { rollout } = goal
  const entries = row.dataCentres.filter(entry => entry.goalKey === goal.key)
  if (rollout === null || applyCompletedRollout(goal, row.completedKey).rollout === null) return 'Complete'
  if (!rollout.undo && isSameTarget(goal.target, goal.inForce)) return 'Complete'
  if (rollout.undo) return entries.length > 0 && row.slots.length === 0 && entries.every(entry => entry.moved === entry.total) ? 'Undone' : 'Undoing'
  if (rollout.paused) return 'Paused'
  if (row.failures.goalKey === goal.key && row.failures.inRow >= options.maxConsecutiveFailures) return 'Halted'
  const inService = entries.reduce((sum, entry) => sum + entry.inService, 0)
  return row.slots.length === 0 && entries.length > 0 && inService <= goal.spec.floor ? 'FloorReached' : 'Running'
}

function buildMessage (goal: PoolGoal, row: RolloutRow): string {
  const counts = row.dataCentres
    .filter(entry => entry.goalKey === goal.key)
    .map(entry => `${entry.dataCentre} ${entry.moved} of ${entry.total}`)
  const loading = row.slots.map(slot => slot.endpoint)
  const parts = [`${goal.target.weightsVersion}: ${counts.length === 0 ? 'no data centre has begun' : counts.join(', ')}`]
  if (loading.length > 0) parts.push(`loading ${loading.join(', ')}`)
  if (row.failures.goalKey === goal.key && row.failures.inRow > 0) parts.push(`${row.failures.inRow} failed in a row`)
  return `${parts.join('; ')}.`
}
