import type { Rng } from 'knapweedshunt-utils'
import { drawByCapacity } from './drawByCapacity.ts'
import type { EndpointState } from './endpointState.ts'
import type { ImportPlan } from './kvStoreIndex.ts'

/** An endpoint with the estimates for a request there; all numbers are in prompt tokens. */
export interface Candidate {
  state: EndpointState
  cachedTokens: number
  waitTokens: number
  cost: number
  plan: ImportPlan | null
}

/** Chooses the candidate with the lowest cost within the load bound, at random and by their weights among nearly equal ones, so that routers with the same outdated load report do not all choose the same endpoint. Without any candidate within the bound, all are considered. */
export function chooseCandidate (candidates: Candidate[], boundTokens: number, costToleranceTokens: number, rng: Rng): Candidate {
  const withinBound = candidates.filter(one => one.waitTokens <= boundTokens)
  const eligible = withinBound.length > 0 ? withinBound : candidates
  const minCost = eligible.reduce((min, one) => Math.min(min, one.cost), Infinity)
  const nearEqual = eligible.filter(one => one.cost <= minCost + costToleranceTokens)
  return nearEqual.length === 1 ? nearEqual[0] : drawByCapacity(nearEqual, one => one.state, rng)
}
