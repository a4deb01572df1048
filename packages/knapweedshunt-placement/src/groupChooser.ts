import type { PrefixLevel } from 'knapweedshunt-types'
import type { Rng } from 'knapweedshunt-utils'
import { chooseCandidate } from './chooseCandidate.ts'
import type { Candidate } from './chooseCandidate.ts'
import type { EndpointGroup } from './endpointGroup.ts'
import type { EndpointState } from './endpointState.ts'
import { findCacheExpectation } from './expectCache.ts'
import type { KeptTable } from './keptTable.ts'
import type { KeyTable } from './keyTable.ts'
import { listCandidates } from './listCandidates.ts'
import type { NearDataCentres } from './nearDataCentres.ts'
import { findCarriedShare } from './objectiveWeights.ts'
import type { ObjectiveWeights } from './objectiveWeights.ts'
import type { PeerDemands } from './peerDemands.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { PlacedDecision } from './placementTypes.ts'
import type { PoolState } from './poolState.ts'
import { buildChain } from './prefixChain.ts'
import type { ChainLink } from './prefixChain.ts'

/** What a choice looks at. */
export interface ChooserParts {
  options: PlacementOptions
  keys: KeyTable
  peers: PeerDemands
  kept: KeptTable
  near: NearDataCentres
  rng: Rng
}

/** A request that is being placed. */
export interface Choice {
  pool: PoolState
  /** Followed levels; empty for plain services. */
  levels: PrefixLevel[]
  excluded: string[]
  unavailable: string[]
  weights: ObjectiveWeights
  nowMs: number
}

/** Best candidate of one group. */
export interface GroupChoice {
  group: EndpointGroup
  chain: ChainLink[]
  candidate: Candidate
}

/** Chooses within the endpoints of one data centre. */
export class GroupChooser {
  readonly #parts: ChooserParts

  constructor (parts: ChooserParts) {
    this.#parts = parts
  }

  /** Builds the nested subsets of followed levels. */
  buildChain (levels: PrefixLevel[], group: EndpointGroup, pool: PoolState, nowMs: number): ChainLink[] {
    const { keys, peers, options } = this.#parts
    const carriedTokensPerS = findCarriedShare(options.objectives, pool.objective) * options.prefillTokensPerS
    return buildChain(levels, group, keys, peers, carriedTokensPerS, nowMs)
  }

  /** Chooses an endpoint of the group; undefined if all are excluded. */
  choose (whole: EndpointGroup, choice: Choice): GroupChoice | undefined {
    const { options, rng } = this.#parts
    const group = whole.without(choice.unavailable)
    if (group === null) return undefined
    const chain = this.buildChain(choice.levels, group, choice.pool, choice.nowMs)
    const states = listCandidates(chain, group, choice.excluded, rng)
    if (states.length === 0) return undefined
    const candidates = states.map(state => this.#scoreEndpoint(state, chain, group, choice))
    const { spillFactor, spillFloorMs } = choice.weights
    const boundTokens = group.countMeanWaitTokens(choice.nowMs) * spillFactor + spillFloorMs * options.prefillTokensPerS / 1_000
    const candidate = chooseCandidate(candidates, boundTokens, options.slackTokens, rng)
    return { group, chain, candidate }
  }

  /** Describes a choice to the caller. */
  describe ({ group, chain, candidate }: GroupChoice): PlacedDecision {
    const { state, cachedTokens, waitTokens, plan } = candidate
    return {
      type: 'placed',
      endpoint: state.endpoint,
      incarnation: state.incarnation,
      url: state.spec.url,
      dataCentre: state.spec.dataCentre,
      rank: findRank(chain.length === 0 ? group.members : chain[0].key.rankWithin(group.members), state),
      expectedCachedTokens: cachedTokens,
      expectedWaitMs: Math.round(waitTokens / this.#parts.options.prefillTokensPerS * 1_000),
      kvImport: plan?.kvImport ?? null
    }
  }

  #scoreEndpoint (state: EndpointState, chain: ChainLink[], group: EndpointGroup, { pool, weights, nowMs }: Choice): Candidate {
    const { options, kept, near } = this.#parts
    const hasWeights = pool.hasWeights(state)
    const { cachedTokens, sharedTokens } = findCacheExpectation(chain, group.members, state, pool.mayHaveWeights(state), { nowMs, evidenceMs: pool.cacheLife.lifeMs })
    const plan = hasWeights ? kept.findImport(chain, state, cachedTokens) : null
    const heldTokens = Math.max(cachedTokens, plan?.kvImport.tokens ?? 0)
    const totalTokens = chain.at(-1)?.tokens ?? 0
    const waitTokens = state.countWaitTokens(nowMs)
    const computed = (totalTokens - heldTokens) / state.weight + (plan?.costTokens ?? 0)
    const farTokens = state.spec.dataCentre === near.own ? 0 : options.nearTokens
    const cost = computed + farTokens + waitTokens * weights.wait - sharedTokens * weights.shared / state.weight
    return { state, cachedTokens, waitTokens, cost, plan }
  }
}

/** Position in a ranking; its length for an endpoint beyond its end. */
function findRank (ranked: readonly EndpointState[], state: EndpointState): number {
  const rank = ranked.indexOf(state)
  return rank === -1 ? ranked.length : rank
}
