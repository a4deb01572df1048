import { isDeepStrictEqual } from 'node:util'
import { claimSlots } from './claimSlots.ts'
import { countProgress } from './countProgress.ts'
import { keepSlots } from './keepSlots.ts'
import { planOrders } from './planOrders.ts'
import type { PlannerOptions, PoolInput, PoolPlan } from './plannerTypes.ts'
import type { LoadFailures, RolloutRow } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'

/**
 * Plans one data centre's next step for one pool. Pure.
 *
 * Orders go only to endpoints whose slot is durable already; what the plan changes in the row gives orders at the next
 * step. So a holder that dies at any point leaves a row from which the next one goes on.
 */
export function planPool (input: PoolInput, options: PlannerOptions): PoolPlan {
  const kept = keepSlots(input, options)
  const failures: LoadFailures = { goalKey: input.goal.key, inRow: kept.failuresInRow }
  const slots = [...kept.slots, ...claimSlots(input, kept, options)]
  const progress = countProgress(input, slots)
  const others = input.row.dataCentres.filter(entry => entry.dataCentre !== input.dataCentre)
  const dataCentres = [...others, progress].sort((a, b) => a.dataCentre < b.dataCentre ? -1 : 1)
  const row: RolloutRow = { slots, failures, dataCentres, completedKey: readCompletedKey(input), revision: input.row.revision }
  return {
    row: isDeepStrictEqual(row, input.row) ? null : { ...row, revision: input.revision },
    orders: planOrders(input, kept.slots, options),
    isComplete: isComplete(input, row)
  }
}

/** A roll-out whose weights are the pool's own has been committed. */
function readCompletedKey ({ goal, row }: PoolInput): string {
  const isCommitted = goal.rollout !== null && !goal.rollout.undo && isSameTarget(goal.target, goal.inForce)
  return isCommitted ? goal.key : row.completedKey
}

/** Complete when no slot is taken and every data centre reports for this goal that all its endpoints moved. */
function isComplete (input: PoolInput, row: RolloutRow): boolean {
  const { goal } = input
  if (goal.rollout === null || goal.rollout.undo || goal.rollout.paused) return false
  if (isSameTarget(goal.target, goal.inForce) || row.slots.length > 0) return false
  if (input.peers.some(peer => peer.lease !== 'fresh')) return false
  const names = [input.dataCentre, ...input.peers.map(peer => peer.dataCentre)]
  const entries = names.map(name => row.dataCentres.find(entry => entry.dataCentre === name))
  const areMoved = entries.every(entry => entry?.goalKey === goal.key && entry.moved === entry.total)
  return areMoved && entries.some(entry => (entry?.moved ?? 0) > 0)
}
