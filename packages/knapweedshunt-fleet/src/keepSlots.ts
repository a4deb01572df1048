import type { EndpointView } from 'knapweedshunt-types'
import { countInService, listServing } from './countInService.ts'
import type { PlannedEndpoint, PlannerOptions, PoolInput } from './plannerTypes.ts'
import type { LoadSlot } from './rolloutState.ts'
import { readWeights } from './listServingWeights.ts'
import { readWished } from './readWished.ts'
import { isSameTarget } from './weightsTarget.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Slots that stay taken, and how many loads of this goal have failed one after another. */
export interface KeptSlots {
  slots: LoadSlot[]
  failuresInRow: number
}

type SlotState = 'kept' | 'done' | 'failed' | 'dropped'

/** Frees the slots that ended: verified by the endpoint's own report, failed, or left by a data centre that is gone. */
export function keepSlots (input: PoolInput, options: PlannerOptions): KeptSlots {
  const { failures } = input.row
  const kept: KeptSlots = { slots: [], failuresInRow: failures.goalKey === input.goal.key ? failures.inRow : 0 }
  for (const slot of input.row.slots) {
    const state = readSlotState(input, slot, options)
    if (state === 'kept') kept.slots.push(slot)
    if (state === 'done' && slot.purpose === 'move') kept.failuresInRow = 0
    if (state === 'failed' && slot.purpose === 'move') kept.failuresInRow++
  }
  return kept
}

function readSlotState (input: PoolInput, slot: LoadSlot, options: PlannerOptions): SlotState {
  if (slot.dataCentre !== input.dataCentre) return isLeft(input, slot) ? 'dropped' : 'kept'
  const planned = input.endpoints.find(entry => entry.endpoint === slot.endpoint)
  if (planned === undefined) return 'dropped'
  if (planned.isBusy) return 'kept'
  return planned.view === null ? 'kept' : readOwnState(input, slot, planned, planned.view, options)
}

function readOwnState (input: PoolInput, slot: LoadSlot, { told, draining }: PlannedEndpoint, view: EndpointView, options: PlannerOptions): SlotState {
  if (view.incarnation !== slot.incarnation) return 'failed'
  if (view.state === 'dead') return view.loadAgeMs >= options.slotSilenceMs ? 'failed' : 'kept'
  const wished = readWished(input.goal, slot.purpose)
  if (view.weightsVersion === null || view.load?.role === 'drain') return 'kept'
  if (isBack(slot, view, wished)) return told !== null && isBack(slot, told, wished) ? 'done' : 'kept'
  // An endpoint that its operator drains counts as none in service already, but the mark may go while it loads.
  return draining || isBelowFloor(input, view) ? 'dropped' : 'kept'
}

/** In service with the wished weights. Routers must have heard of it too before another endpoint goes out. */
function isBack (slot: LoadSlot, view: EndpointView, wished: WeightsTarget): boolean {
  const weights = readWeights(view)
  return view.incarnation === slot.incarnation && view.load?.role !== 'drain' && weights !== null && isSameTarget(weights, wished)
}

/** Since the slot was claimed others may have crashed: an endpoint not drained yet then stays in service. */
function isBelowFloor (input: PoolInput, view: EndpointView): boolean {
  const others = new Set(input.row.slots.map(slot => slot.endpoint).filter(name => name !== view.endpoint))
  if (!listServing(input, others).has(view.endpoint)) return false
  return countInService(input, others) - 1 < input.goal.spec.floor
}

function isLeft (input: PoolInput, slot: LoadSlot): boolean {
  const peer = input.peers.find(entry => entry.dataCentre === slot.dataCentre)
  return peer === undefined || peer.lease === 'gone'
}
