import { listServingEndpoints } from './countInService.ts'
import { readWeights } from './listServingWeights.ts'
import type { PlannedEndpoint, PoolInput } from './plannerTypes.ts'
import type { DataCentreProgress, LoadSlot } from './rolloutState.ts'
import { isSameTarget } from './weightsTarget.ts'

/** Counts this data centre's endpoints for the durable row. An endpoint that has not reported yet counts as not moved. */
export function countProgress (input: PoolInput, slots: LoadSlot[]): DataCentreProgress {
  const slotEndpoints = new Set(slots.map(slot => slot.endpoint))
  const counted = input.endpoints.filter(entry => !entry.draining && !entry.isUnreachable)
  return {
    dataCentre: input.dataCentre,
    goalKey: input.goal.key,
    total: counted.length,
    moved: counted.filter(entry => !slotEndpoints.has(entry.endpoint) && isMoved(input, entry)).length,
    inService: listServingEndpoints(input, slotEndpoints).size
  }
}

function isMoved (input: PoolInput, entry: PlannedEndpoint): boolean {
  if (entry.view === null) return false
  const weights = readWeights(entry.view)
  return weights !== null && isSameTarget(weights, input.goal.target) && entry.view.load?.role !== 'drain'
}
