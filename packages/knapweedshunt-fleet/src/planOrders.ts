import type { EndpointView } from 'knapweedshunt-types'
import type { EndpointOrder } from './endpointOrder.ts'
import { readWeights } from './listServingWeights.ts'
import type { PlannedEndpoint, PlannerOptions, PoolInput } from './plannerTypes.ts'
import { readWished } from './readWished.ts'
import type { LoadSlot } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Orders that bring each endpoint towards what its slot asks; an endpoint drained without a slot goes back to service. */
export function planOrders (input: PoolInput, slots: LoadSlot[], options: PlannerOptions): EndpointOrder[] {
  return input.endpoints.flatMap(planned => {
    if (planned.isBusy || planned.view?.state !== 'live') return []
    const slot = slots.find(entry => entry.endpoint === planned.endpoint)
    if (slot !== undefined) return planSlot(input, slot, planned, planned.view, options)
    return planned.view.load?.role === 'drain' ? [buildRole(planned.view, 'serve')] : []
  })
}

function planSlot (input: PoolInput, slot: LoadSlot, planned: PlannedEndpoint, view: EndpointView, options: PlannerOptions): EndpointOrder[] {
  if (view.incarnation !== slot.incarnation) return []
  const wished = readWished(input.goal, slot.purpose)
  const weights = readWeights(view)
  const role = view.load?.role ?? 'serve'
  if (weights !== null && isSameTarget(weights, wished)) return role === 'drain' ? [planReturn(planned, view, wished)] : []
  if (weights !== null && role !== 'drain') return [buildRole(view, 'drain')]
  if (weights !== null && !isDrained(planned, view, options)) return []
  return [buildWeights(view, wished)]
}

/** An order of an earlier holder, or a lost one, may still load other weights: the wished ones are asked for again first, which ends it. */
function planReturn (planned: PlannedEndpoint, view: EndpointView, wished: WeightsTarget): EndpointOrder {
  const isConfirmed = planned.confirmed !== null && isSameTarget(planned.confirmed, wished)
  return isConfirmed ? buildRole(view, 'serve') : buildWeights(view, wished)
}

/** Every router has had time to hear of the mark, and nothing is in flight, or the wait has reached its bound. */
function isDrained (planned: PlannedEndpoint, view: EndpointView, options: PlannerOptions): boolean {
  if (planned.drainedForMs < options.drainSettleMs) return false
  const inFlight = (view.load?.running ?? 0) + (view.load?.queued ?? 0)
  return inFlight === 0 || planned.drainedForMs >= options.drainBoundMs
}

function buildWeights (view: EndpointView, weights: WeightsTarget): EndpointOrder {
  return { type: 'weights', endpoint: view.endpoint, incarnation: view.incarnation, weights }
}

function buildRole (view: EndpointView, role: 'serve' | 'drain'): EndpointOrder {
  return { type: 'role', endpoint: view.endpoint, incarnation: view.incarnation, role }
}
