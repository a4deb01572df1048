import type { EndpointView } from 'knapweedshunt-types'
import type { EndpointCommand } from './endpointCommand.ts'
import { readWeights } from './listServingWeights.ts'
import type { PlannedEndpoint, PlannerOptions, PoolInput } from './plannerTypes.ts'
import { readSlotTarget } from './readSlotTarget.ts'
import type { LoadSlot } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Plans the commands that move each endpoint towards the target of its slot; a drained endpoint without a slot is returned to service. */
export function planCommands (input: PoolInput, slots: LoadSlot[], options: PlannerOptions): EndpointCommand[] {
  return input.endpoints.flatMap(planned => {
    if (planned.hasPendingCommand || planned.view?.state !== 'live') return []
    const slot = slots.find(entry => entry.endpoint === planned.endpoint)
    if (slot !== undefined) return planSlotCommands(input, slot, planned, planned.view, options)
    return planned.view.load?.role === 'drain' ? [buildRoleCommand(planned.view, 'serve')] : []
  })
}

function planSlotCommands (input: PoolInput, slot: LoadSlot, planned: PlannedEndpoint, view: EndpointView, options: PlannerOptions): EndpointCommand[] {
  if (view.incarnation !== slot.incarnation) return []
  const target = readSlotTarget(input.goal, slot.purpose)
  const weights = readWeights(view)
  const role = view.load?.role ?? 'serve'
  if (weights !== null && isSameTarget(weights, target)) return role === 'drain' ? [planReturnToService(planned, view, target)] : []
  if (weights !== null && role !== 'drain') return [buildRoleCommand(view, 'drain')]
  if (weights !== null && !isDrained(planned, view, options)) return []
  return [buildWeightsCommand(view, target)]
}

/** A command of an earlier holder, or one without an answer, may still load other weights. The target weights are therefore commanded again before the endpoint returns to service, which ends such a load. */
function planReturnToService (planned: PlannedEndpoint, view: EndpointView, target: WeightsTarget): EndpointCommand {
  const isConfirmed = planned.confirmedWeights !== null && isSameTarget(planned.confirmedWeights, target)
  return isConfirmed ? buildRoleCommand(view, 'serve') : buildWeightsCommand(view, target)
}

/** Whether every router has had time to learn of the drain and either nothing is in flight or the drain has timed out. */
function isDrained (planned: PlannedEndpoint, view: EndpointView, options: PlannerOptions): boolean {
  if (planned.drainedForMs < options.drainPropagationMs) return false
  const inFlight = (view.load?.running ?? 0) + (view.load?.queued ?? 0)
  return inFlight === 0 || planned.drainedForMs >= options.drainTimeoutMs
}

function buildWeightsCommand (view: EndpointView, weights: WeightsTarget): EndpointCommand {
  return { type: 'weights', endpoint: view.endpoint, incarnation: view.incarnation, weights }
}

function buildRoleCommand (view: EndpointView, role: 'serve' | 'drain'): EndpointCommand {
  return { type: 'role', endpoint: view.endpoint, incarnation: view.incarnation, role }
}
