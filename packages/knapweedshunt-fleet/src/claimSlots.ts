import type { EndpointView } from 'knapweedshunt-types'
import type { KeptSlots } from './keepSlots.ts'
import { isWished, listServingWeights, readWeights } from './listServingWeights.ts'
import type { PlannerOptions, PoolInput } from './plannerTypes.ts'
import type { LoadSlot, SlotPurpose } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'

/** Chooses the endpoints to begin with, within the pool's parallel loads and its floor. Endpoints that lost their weights come first. */
export function claimSlots (input: PoolInput, kept: KeptSlots, options: PlannerOptions): LoadSlot[] {
  const taken = new Set(kept.slots.map(slot => slot.endpoint))
  const free = listCandidates(input).filter(view => !taken.has(view.endpoint))
  const serving = listServing(input, taken)
  let inService = serving.size + countPeersInService(input)
  let room = input.goal.spec.maxParallelLoads - kept.slots.length
  const claimed: LoadSlot[] = []
  for (const purpose of listPurposes(input, kept, options)) {
    for (const view of free.filter(entry => needsSlot(input, entry, purpose))) {
      const isServing = serving.has(view.endpoint)
      if (room <= 0 || (isServing && inService - 1 < input.goal.spec.floor)) continue
      claimed.push({ endpoint: view.endpoint, incarnation: view.incarnation, dataCentre: input.dataCentre, purpose })
      room--
      if (isServing) inService--
    }
  }
  return claimed
}

/** Names of this data centre's live endpoints that serve and are not in a slot. */
export function listServing (input: PoolInput, taken: ReadonlySet<string>): ReadonlySet<string> {
  const views = input.endpoints.flatMap(entry => entry.view === null || entry.draining || taken.has(entry.endpoint) ? [] : [entry.view])
  const live = new Set(views.filter(view => view.state === 'live').map(view => view.endpoint))
  return new Set(listServingWeights(input.goal, views).filter(entry => entry.serves && live.has(entry.endpoint)).map(entry => entry.endpoint))
}

function listCandidates (input: PoolInput): EndpointView[] {
  return input.endpoints.flatMap(entry => entry.view?.state === 'live' && !entry.draining && !entry.isBusy ? [entry.view] : [])
}

/** A paused or halted roll-out begins nothing new; lost weights are brought back all the same. */
function listPurposes (input: PoolInput, kept: KeptSlots, options: PlannerOptions): SlotPurpose[] {
  const isHalted = input.goal.rollout !== null && !input.goal.rollout.undo && kept.failuresInRow >= options.maxFailuresInRow
  return input.goal.rollout?.paused || isHalted ? ['recover'] : ['recover', 'move']
}

function needsSlot (input: PoolInput, view: EndpointView, purpose: SlotPurpose): boolean {
  const weights = readWeights(view)
  if (purpose === 'recover') return !isWished(input.goal, view)
  return weights !== null && isWished(input.goal, view) && !isSameTarget(weights, input.goal.target)
}

/** Only counts of a fresh lease and of this goal hold; a data centre that reports nothing counts as none in service. */
function countPeersInService (input: PoolInput): number {
  const fresh = new Set(input.peers.filter(peer => peer.lease === 'fresh').map(peer => peer.dataCentre))
  return input.row.dataCentres
    .filter(entry => fresh.has(entry.dataCentre) && entry.goalKey === input.goal.key)
    .reduce((sum, entry) => sum + entry.inService, 0)
}
