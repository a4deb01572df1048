import type { Rng } from 'knapweedshunt-utils'
import type { EndpointGroup } from './endpointGroup.ts'
import type { EndpointState } from './endpointState.ts'
import type { ChainLink } from './prefixChain.ts'

/** Endpoints whose cost is worked out for one request; groups up to this size are looked at whole. */
const MAX_CANDIDATES = 16

/** Candidates taken from the deepest subsets outwards; the rest is drawn from the outermost one. */
const RANKED_CANDIDATES = 10

/** Endpoints drawn at random. */
const DRAWS = 8

/** Lists the endpoints to weigh: those that share most of the prefix, then some drawn at random that share its outermost level. */
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

/** Draws a few; all that are not excluded if the draws hit only excluded ones. */
function drawSample (states: readonly EndpointState[], excluded: string[], rng: Rng): EndpointState[] {
  const drawn = new Set<EndpointState>()
  for (let i = 0; i < DRAWS; i++) drawn.add(states[rng.int(states.length)])
  const open = [...drawn].filter(state => !excluded.includes(state.endpoint))
  return open.length > 0 ? open : states.filter(state => !excluded.includes(state.endpoint))
}

function addRanked (found: Set<EndpointState>, chain: ChainLink[], group: EndpointGroup, excluded: string[]): void {
  for (const { subset } of chain.toReversed()) {
    if (!addSome(found, subset, excluded)) return
  }
  addSome(found, chain[0].key.rankWithin(group.members), excluded)
}

function addSome (found: Set<EndpointState>, states: readonly EndpointState[], excluded: string[]): boolean {
  for (const state of states) {
    if (found.size >= RANKED_CANDIDATES) return false
    if (!excluded.includes(state.endpoint)) found.add(state)
  }
  return true
}
