import type { EndpointName, EndpointView } from 'knapweedshunt-types'
import type { PoolGoal } from './poolGoal.ts'
import { isSameTarget } from './weightsTarget.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** What a router must know of one endpoint's weights. */
export interface ServingWeights {
  endpoint: EndpointName
  /** Salt keys sent to this endpoint with these weights; null when it has none. */
  weights: WeightsTarget | null
  /** Whether new requests may go there. */
  serves: boolean
}

/**
 * Weights by endpoint and whether each may get new requests.
 *
 * Every block key and cache salt for an endpoint must hold the weights it reports, never the pool's: while a roll-out
 * is under way both are in use. An endpoint serves when it is live or suspect, not in role `drain`, and has the weights in
 * force or those being rolled out. Others serve only while fewer than the pool's floor do, as after a direct change of the
 * pool's version.
 */
export function listServingWeights (goal: PoolGoal, views: EndpointView[]): ServingWeights[] {
  const ready = views.filter(isReady)
  const wished = new Set(ready.filter(view => isWished(goal, view)).map(view => view.endpoint))
  const fallback = wished.size < goal.spec.floor ? ready.map(view => view.endpoint) : []
  const serving = new Set([...wished, ...fallback])
  return views.map(view => ({ endpoint: view.endpoint, weights: readWeights(view), serves: serving.has(view.endpoint) }))
}

/** Weights an endpoint reports, null when it has none. */
export function readWeights (view: EndpointView): WeightsTarget | null {
  return view.weightsVersion === null ? null : { weightsVersion: view.weightsVersion, adapter: view.load?.adapter ?? '' }
}

/** Whether the endpoint has the weights in force or those being rolled out. */
export function isWished (goal: PoolGoal, view: EndpointView): boolean {
  const weights = readWeights(view)
  return weights !== null && (isSameTarget(weights, goal.inForce) || isSameTarget(weights, goal.target))
}

function isReady (view: EndpointView): boolean {
  const isUp = view.state === 'live' || view.state === 'suspect'
  return isUp && view.weightsVersion !== null && view.load?.role !== 'drain'
}
