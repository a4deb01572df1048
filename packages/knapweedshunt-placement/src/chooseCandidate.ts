import type { Rng } from 'knapweedshunt-utils'
import type { EndpointState } from './endpointState.ts'
import type { ImportPlan } from './keptTable.ts'

/** An endpoint with what a request would meet there; all in prompt tokens. */
export interface Candidate {
  state: EndpointState
  cachedTokens: number
  waitTokens: number
  cost: number
  plan: ImportPlan | null
}

/** Chooses the least cost among those within the load bound; near-equal ones are drawn from, so that routers with the same old report do not all choose one. */
export function chooseCandidate (candidates: Candidate[], boundTokens: number, slackTokens: number, rng: Rng): Candidate {
  const open = candidates.filter(one => one.waitTokens <= boundTokens)
  const from = open.length > 0 ? open : candidates
  const least = from.reduce((min, one) => Math.min(min, one.cost), Infinity)
  const near = from.filter(one => one.cost <= least + slackTokens)
  return near.length === 1 ? near[0] : near[rng.int(near.length)]
}
