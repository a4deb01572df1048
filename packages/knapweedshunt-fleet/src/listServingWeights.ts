import type { EndpointName, EndpointView } from 'knapweedshunt-types'
import type { PoolGoal } from './poolGoal.ts'
import { isSameTarget } from './weightsTarget.ts'
import type { WeightsTarget } from './weightsTarget.ts'

/** Weights of one endpoint, as a router needs them. */
export interface ServingWeights {
  endpoint: EndpointName
  /** Weights with which keys sent to this endpoint must be salted; null when it has none loaded. */
  weights: WeightsTarget | null
  /** Whether new requests may be routed to it. */
  isServing: boolean
}

/**
 * Lists each endpoint's weights and whether it may receive new requests.
 *
 * Every block key and cache salt for an endpoint must contain the weights that it reports, never the pool's, because both
 * are in use during a roll-out. An endpoint serves when it is live or suspect, not in role `drain`, and has the weights in
 * force or those being rolled out. Endpoints with other weights serve only while fewer than the pool's floor do, as after a
 * direct change of the pool's version.
 */
export function listServingWeights (goal: PoolGoal, views: EndpointView[]): ServingWeights[] {
  const ready = views.filter(isReady)
  const withGoalWeights = new Set(ready.filter(view => hasGoalWeights(goal, view)).map(view => view.endpoint))
  const fallback = withGoalWeights.size < goal.spec.floor ? ready.map(view => view.endpoint) : []
  const serving = new Set([...withGoalWeights, ...fallback])
  return views.map(view => ({ endpoint: view.endpoint, weights: readWeights(view), isServing: serving.has(view.endpoint) }))
}

/** Returns the weights that an endpoint reports; null when it has none loaded. */
export function readWeights (view: EndpointView): WeightsTarget | null {
  return view.weightsVersion === null ? null : { weightsVersion: view.weightsVersion, adapter: view.load?.adapter ?? '' }
}

/** Whether the endpoint has the weights in force or those being rolled out. */
export function hasGoalWeights (goal: PoolGoal, view: EndpointView): boolean {
  const weights = readWeights(view)
  return weights !== null && (isSameTarget(weights, goal.inForce) || isSameTarget(weights, goal.target))
}

function isReady (view: EndpointView): boolean {
  const isUp = view.state === 'live' || view.state === 'suspect'
  return isUp && view.weightsVersion !== null && view.load?.role !== 'drain'
}
