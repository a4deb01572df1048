import type { EndpointView } from 'knapweedshunt-types'
import { countInService, listServing } from './countInService.ts'
import type { KeptSlots } from './keepSlots.ts'
import { isWished, readWeights } from './listServingWeights.ts'
import type { PlannerOptions, PoolInput } from './plannerTypes.ts'
import type { LoadSlot, SlotPurpose } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'

/** Chooses the endpoints to begin with, within the pool's parallel loads and its floor. Endpoints that lost their weights come first. */
export function claimSlots (input: PoolInput, kept: KeptSlots, options: PlannerOptions): LoadSlot[] {
  const taken = new Set(kept.slots.map(slot => slot.endpoint))
  const free = listCandidates(input).filter(view => !taken.has(view.endpoint))
  const serving = listServing(input, taken)
  let inService = countInService(input, taken)
  let room = input.goal.spec.maxParallelLoads - kept.slots.length
  const claimed: LoadSlot[] = []
  for (const purpose of listPurposes(input, kept, options)) {
    for (const view of free.filter(entry => isSlotNeeded(input, entry, purpose))) {
      const isServing = serving.has(view.endpoint)
      if (room <= 0 || (isServing && inService - 1 < input.goal.spec.floor)) continue
      claimed.push({ endpoint: view.endpoint, incarnation: view.incarnation, dataCentre: input.dataCentre, purpose })
      room--
      if (isServing) inService--
    }
  }
  return claimed
}

function listCandidates (input: PoolInput): EndpointView[] {
  return input.endpoints.flatMap(entry => entry.view?.state === 'live' && !entry.draining && !entry.isBusy ? [entry.view] : [])
}

/** A paused or halted roll-out begins nothing new; lost weights are brought back all the same. */
function listPurposes (input: PoolInput, kept: KeptSlots, options: PlannerOptions): SlotPurpose[] {
  const isHalted = input.goal.rollout !== null && !input.goal.rollout.undo && kept.failuresInRow >= options.maxFailuresInRow
  return input.goal.rollout?.paused || isHalted ? ['recover'] : ['recover', 'move']
}

function isSlotNeeded (input: PoolInput, view: EndpointView, purpose: SlotPurpose): boolean {
  const weights = readWeights(view)
  if (purpose === 'recover') return !isWished(input.goal, view)
  return weights !== null && isWished(input.goal, view) && !isSameTarget(weights, input.goal.target)
}
