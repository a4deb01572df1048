import type { Rng } from 'knapweedshunt-utils'
import type { EndpointGroup } from './endpointGroup.ts'
import type { EndpointState } from './endpointState.ts'
import type { ChainLink } from './prefixChain.ts'

/** Maximum number of endpoints whose cost is computed for one request; groups up to this size are evaluated completely. */
const MAX_CANDIDATES = 16

/** Candidates taken from the deepest subset outwards; the others are drawn at random from the outermost one. */
const RANKED_CANDIDATES = 10

/** Number of random draws, with replacement. */
const RANDOM_DRAWS = 8

/** Lists the endpoints to evaluate: those that share most of the prefix, then random ones that share its outermost level. */
export function listCandidates (chain: ChainLink[], group: EndpointGroup, excluded: string[], rng: Rng): EndpointState[] {
  const { members } = group
  if (members.length <= MAX_CANDIDATES) return members.filter(state => !excluded.includes(state.endpoint))
  if (chain.length === 0) return drawSample(members, excluded, rng)
  const found = new Set<EndpointState>()
  addRanked(found, chain, group, excluded)
  const outer = chain[0].subset.length > RANKED_CANDIDATES ? chain[0].subset : members
  for (const state of drawSample(outer, excluded, rng)) if (found.size < MAX_CANDIDATES) found.add(state)
  return [...found]
}

/** Draws endpoints at random; returns all that are not excluded if only excluded ones were drawn. */
function drawSample (states: readonly EndpointState[], excluded: string[], rng: Rng): EndpointState[] {
  const drawn = new Set<EndpointState>()
  for (let i = 0; i < RANDOM_DRAWS; i++) drawn.add(states[rng.drawInt(states.length)])
  const eligible = [...drawn].filter(state => !excluded.includes(state.endpoint))
  return eligible.length > 0 ? eligible : states.filter(state => !excluded.includes(state.endpoint))
}

function addRanked (found: Set<EndpointState>, chain: ChainLink[], group: EndpointGroup, excluded: string[]): void {
  for (const { subset } of chain.toReversed()) {
    if (!addEligible(found, subset, excluded)) return
  }
  addEligible(found, chain[0].key.rankWithin(group.members), excluded)
}

function addEligible (found: Set<EndpointState>, states: readonly EndpointState[], excluded: string[]): boolean {
  for (const state of states) {
    if (found.size >= RANKED_CANDIDATES) return false
    if (!excluded.includes(state.endpoint)) found.add(state)
  }
  return true
}
