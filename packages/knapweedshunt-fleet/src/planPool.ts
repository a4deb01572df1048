import { isDeepStrictEqual } from 'node:util'
import { claimSlots } from './claimSlots.ts'
import { countProgress } from './countProgress.ts'
import { retainSlots } from './retainSlots.ts'
import { planCommands } from './planCommands.ts'
import type { PlannerOptions, PoolInput, PoolPlan } from './plannerTypes.ts'
import type { LoadFailures, RolloutRow } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'

/**
 * Plans one data centre's next step for one pool. A pure function.
 *
 * Commands are planned only for endpoints whose slot is already durable; slots claimed by this plan lead to commands at the
 * next step. A holder that dies at any point therefore leaves a row from which the next holder can continue.
 */
export function planPool (input: PoolInput, options: PlannerOptions): PoolPlan {
  const retained = retainSlots(input, options)
  const failures: LoadFailures = { goalKey: input.goal.key, inRow: retained.consecutiveFailures }
  const slots = [...retained.slots, ...claimSlots(input, retained, options)]
  const progress = countProgress(input, slots)
  const otherEntries = input.row.dataCentres.filter(entry => entry.dataCentre !== input.dataCentre)
  const dataCentres = [...otherEntries, progress].sort((a, b) => a.dataCentre < b.dataCentre ? -1 : 1)
  const row: RolloutRow = { slots, failures, dataCentres, completedKey: determineCompletedKey(input), revision: input.row.revision }
  return {
    row: isDeepStrictEqual(row, input.row) ? null : { ...row, revision: input.revision },
    commands: planCommands(input, retained.slots, options),
    isComplete: isComplete(input, row)
  }
}

/** Returns the goal's key once its roll-out has been committed, which is when the pool's own weights are the target. */
function determineCompletedKey ({ goal, row }: PoolInput): string {
  const isCommitted = goal.rollout !== null && !goal.rollout.undo && isSameTarget(goal.target, goal.inForce)
  return isCommitted ? goal.key : row.completedKey
}

/** A roll-out is complete when no slot is claimed and every data centre reports for this goal that all its endpoints have moved. */
function isComplete (input: PoolInput, row: RolloutRow): boolean {
  const { goal } = input
  if (goal.rollout === null || goal.rollout.undo || goal.rollout.paused) return false
  if (isSameTarget(goal.target, goal.inForce) || row.slots.length > 0) return false
  if (input.peers.some(peer => peer.lease !== 'fresh')) return false
  const dataCentres = [input.dataCentre, ...input.peers.map(peer => peer.dataCentre)]
  const entries = dataCentres.map(dataCentre => row.dataCentres.find(entry => entry.dataCentre === dataCentre))
  const areAllMoved = entries.every(entry => entry?.goalKey === goal.key && entry.moved === entry.total)
  return areAllMoved && entries.some(entry => (entry?.moved ?? 0) > 0)
}
