import type { EndpointView } from 'knapweedshunt-types'
import { countInService, listServingEndpoints } from './countInService.ts'
import type { PlannedEndpoint, PlannerOptions, PoolInput } from './plannerTypes.ts'
import type { LoadSlot } from './rolloutState.ts'
import { readWeights } from './listServingWeights.ts'
import { readSlotTarget } from './readSlotTarget.ts'
import { isSameTarget } from './weightsTarget.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Load slots still claimed, and the number of consecutive failed loads for this goal. */
export interface RetainedSlots {
  slots: LoadSlot[]
  consecutiveFailures: number
}

type SlotState = 'retained' | 'done' | 'failed' | 'released'

/** Frees the slots that ended: the endpoint's report shows the target weights, the load failed, or the owning data centre's lease expired. */
export function retainSlots (input: PoolInput, options: PlannerOptions): RetainedSlots {
  const { failures } = input.row
  const retained: RetainedSlots = { slots: [], consecutiveFailures: failures.goalKey === input.goal.key ? failures.inRow : 0 }
  for (const slot of input.row.slots) {
    const state = determineSlotState(input, slot, options)
    if (state === 'retained') retained.slots.push(slot)
    if (state === 'done' && slot.purpose === 'move') retained.consecutiveFailures = 0
    if (state === 'failed' && slot.purpose === 'move') retained.consecutiveFailures++
  }
  return retained
}

function determineSlotState (input: PoolInput, slot: LoadSlot, options: PlannerOptions): SlotState {
  if (slot.dataCentre !== input.dataCentre) return isOrphaned(input, slot) ? 'released' : 'retained'
  const planned = input.endpoints.find(entry => entry.endpoint === slot.endpoint)
  if (planned === undefined) return 'released'
  if (planned.hasPendingCommand) return 'retained'
  return planned.view === null ? 'retained' : determineLocalSlotState(input, slot, planned, planned.view, options)
}

function determineLocalSlotState (input: PoolInput, slot: LoadSlot, { gossipView, draining }: PlannedEndpoint, view: EndpointView, options: PlannerOptions): SlotState {
  if (view.incarnation !== slot.incarnation) return 'failed'
  if (view.state === 'dead') return view.loadAgeMs >= options.deadSlotTimeoutMs ? 'failed' : 'retained'
  const target = readSlotTarget(input.goal, slot.purpose)
  if (view.weightsVersion === null || view.load?.role === 'drain') return 'retained'
  if (isServingTarget(slot, view, target)) return gossipView !== null && isServingTarget(slot, gossipView, target) ? 'done' : 'retained'
  // An endpoint being drained by the operator does not count as in service, but the operator may end the drain while it loads.
  return draining || isBelowFloor(input, view) ? 'released' : 'retained'
}

/** Whether the view shows the endpoint in service with the target weights. Checked on the gossip view too, since routers must know it before another endpoint is drained. */
function isServingTarget (slot: LoadSlot, view: EndpointView, target: WeightsTarget): boolean {
  const weights = readWeights(view)
  return view.incarnation === slot.incarnation && view.load?.role !== 'drain' && weights !== null && isSameTarget(weights, target)
}

/** Whether draining this endpoint would take the pool below its floor. Other endpoints may have crashed since the slot was claimed; an endpoint not drained yet then stays in service. */
function isBelowFloor (input: PoolInput, view: EndpointView): boolean {
  const otherSlotEndpoints = new Set(input.row.slots.map(slot => slot.endpoint).filter(name => name !== view.endpoint))
  if (!listServingEndpoints(input, otherSlotEndpoints).has(view.endpoint)) return false
  return countInService(input, otherSlotEndpoints) - 1 < input.goal.spec.floor
}

function isOrphaned (input: PoolInput, slot: LoadSlot): boolean {
  const peer = input.peers.find(entry => entry.dataCentre === slot.dataCentre)
  return peer === undefined || peer.lease === 'expired'
}
