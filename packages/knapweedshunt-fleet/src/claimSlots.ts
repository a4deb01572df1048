import type { EndpointView } from 'knapweedshunt-types'
import { countInService, listServingEndpoints } from './countInService.ts'
import type { RetainedSlots } from './retainSlots.ts'
import { hasGoalWeights, readWeights } from './listServingWeights.ts'
import type { PlannerOptions, PoolInput } from './plannerTypes.ts'
import type { LoadSlot, SlotPurpose } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'

/** Claims load slots for further endpoints, within the pool's `maxParallelLoads` and its floor. Endpoints that lost their weights are claimed before those to move. */
export function claimSlots (input: PoolInput, retained: RetainedSlots, options: PlannerOptions): LoadSlot[] {
  const slotEndpoints = new Set(retained.slots.map(slot => slot.endpoint))
  const candidates = listCandidates(input).filter(view => !slotEndpoints.has(view.endpoint))
  const serving = listServingEndpoints(input, slotEndpoints)
  let inService = countInService(input, slotEndpoints)
  let freeSlots = input.goal.spec.maxParallelLoads - retained.slots.length
  const claimed: LoadSlot[] = []
  for (const purpose of listAllowedPurposes(input, retained, options)) {
    for (const view of candidates.filter(entry => isSlotNeeded(input, entry, purpose))) {
      const isServing = serving.has(view.endpoint)
      if (freeSlots <= 0 || (isServing && inService - 1 < input.goal.spec.floor)) continue
      claimed.push({ endpoint: view.endpoint, incarnation: view.incarnation, dataCentre: input.dataCentre, purpose })
      freeSlots--
      if (isServing) inService--
    }
  }
  return claimed
}

function listCandidates (input: PoolInput): EndpointView[] {
  return input.endpoints.flatMap(entry => entry.view?.state === 'live' && !entry.draining && !entry.hasPendingCommand ? [entry.view] : [])
}

/** A paused or halted roll-out claims no further slots for moves; endpoints that lost their weights are still reloaded. */
function listAllowedPurposes (input: PoolInput, retained: RetainedSlots, options: PlannerOptions): SlotPurpose[] {
  const isHalted = input.goal.rollout !== null && !input.goal.rollout.undo && retained.consecutiveFailures >= options.maxConsecutiveFailures
  return input.goal.rollout?.paused || isHalted ? ['recover'] : ['recover', 'move']
}

function isSlotNeeded (input: PoolInput, view: EndpointView, purpose: SlotPurpose): boolean {
  const weights = readWeights(view)
  if (purpose === 'recover') return !hasGoalWeights(input.goal, view)
  return weights !== null && hasGoalWeights(input.goal, view) && !isSameTarget(weights, input.goal.target)
}
