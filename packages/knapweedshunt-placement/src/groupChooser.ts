import type { PrefixLevel } from 'knapweedshunt-types'
import type { Rng } from 'knapweedshunt-utils'
import { chooseCandidate } from './chooseCandidate.ts'
import type { Candidate } from './chooseCandidate.ts'
import { drawByCapacity } from './drawByCapacity.ts'
import type { EndpointGroup } from './endpointGroup.ts'
import type { EndpointState } from './endpointState.ts'
import { findCacheExpectation } from './findCacheExpectation.ts'
import type { KvStoreIndex } from './kvStoreIndex.ts'
import type { KeyTable } from './keyTable.ts'
import { listCandidates } from './listCandidates.ts'
import type { NearDataCentres } from './nearDataCentres.ts'
import { findMaxKeyShare } from './objectiveWeights.ts'
import type { ObjectiveWeights } from './objectiveWeights.ts'
import type { PeerDemands } from './peerDemands.ts'
import type { PlacementOptions } from './placementOptions.ts'
import type { PlacedDecision } from './placementTypes.ts'
import type { PoolState } from './poolState.ts'
import { buildChain } from './prefixChain.ts'
import type { ChainLink } from './prefixChain.ts'

/** Share of the mean wait by which forecast waits may differ to count as equal: while load rises, an endpoint heard of lately seems busier than the others. */
const WAIT_TOLERANCE = 0.5

/** State and options that a {@link GroupChooser} reads. */
export interface GroupChooserDependencies {
  options: PlacementOptions
  keys: KeyTable
  peerDemands: PeerDemands
  kvStore: KvStoreIndex
  near: NearDataCentres
  rng: Rng
}

/** A request that is being placed, with the values that are the same for all groups. */
export interface PlacementContext {
  pool: PoolState
  /** Tracked levels; empty for plain services. */
  levels: PrefixLevel[]
  excluded: string[]
  unavailable: string[]
  weights: ObjectiveWeights
  nowMs: number
}

/** The candidate chosen in one group. */
export interface GroupChoice {
  group: EndpointGroup
  chain: ChainLink[]
  candidate: Candidate
}

/** Chooses among the endpoints of one data centre. */
export class GroupChooser {
  readonly #dependencies: GroupChooserDependencies

  constructor (dependencies: GroupChooserDependencies) {
    this.#dependencies = dependencies
  }

  /** Builds the nested endpoint subsets of the tracked levels. */
  buildChain (levels: PrefixLevel[], group: EndpointGroup, pool: PoolState, nowMs: number): ChainLink[] {
    const { keys, peerDemands, options } = this.#dependencies
    const maxKeyTokensPerS = findMaxKeyShare(options.objectives, pool.objective) * options.prefillTokensPerS
    return buildChain(levels, group, keys, peerDemands, maxKeyTokensPerS, nowMs)
  }

  /** Chooses an endpoint of the group; undefined if all are excluded. */
  choose (fullGroup: EndpointGroup, context: PlacementContext): GroupChoice | undefined {
    const { options, rng } = this.#dependencies
    const group = fullGroup.excludeMembers(context.unavailable)
    if (group === null) return undefined
    const chain = this.buildChain(context.levels, group, context.pool, context.nowMs)
    const listed = listCandidates(chain, group, context.excluded, rng)
    if (listed.length === 0) return undefined
    const hasForecast = listed[0].findForecast(context.nowMs) !== null
    const states = hasForecast && chain.length === 0 ? drawTwo(listed, rng) : listed
    const candidates = states.map(state => this.#scoreEndpoint(state, chain, group, context))
    const { spillFactor, spillFloorMs } = context.weights
    const meanWaitTokens = group.countMeanWaitTokens(context.nowMs)
    const boundTokens = meanWaitTokens * spillFactor + spillFloorMs * options.prefillTokensPerS / 1_000
    const toleranceTokens = hasForecast ? Math.max(options.costToleranceTokens, meanWaitTokens * WAIT_TOLERANCE) : options.costToleranceTokens
    const candidate = chooseCandidate(candidates, boundTokens, toleranceTokens, rng)
    return { group, chain, candidate }
  }

  /** Converts a choice to the decision that is returned to the caller. */
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
      expectedWaitMs: Math.round(waitTokens / this.#dependencies.options.prefillTokensPerS * 1_000),
      kvImport: plan?.kvImport ?? null
    }
  }

  #scoreEndpoint (state: EndpointState, chain: ChainLink[], group: EndpointGroup, { pool, weights, nowMs }: PlacementContext): Candidate {
    const { options, kvStore, near } = this.#dependencies
    const hasWeights = pool.hasWeights(state)
    const { cachedTokens, sharedTokens } = findCacheExpectation(chain, group.members, state, pool.mayHaveWeights(state), { nowMs, maxAgeMs: pool.cacheLifetime.lifetimeMs })
    const plan = hasWeights ? kvStore.findImport(chain, state, cachedTokens) : null
    const availableTokens = Math.max(cachedTokens, plan?.kvImport.tokens ?? 0)
    const totalTokens = chain.at(-1)?.tokens ?? 0
    const waitTokens = state.countWaitTokens(nowMs)
    const computeTokens = (totalTokens - availableTokens) / group.meanWeight + (plan?.costTokens ?? 0)
    const nearDataCentreTokens = state.spec.dataCentre === near.own ? 0 : options.nearDataCentreCostTokens
    const cost = computeTokens + nearDataCentreTokens + waitTokens * weights.waitWeight - sharedTokens * weights.sharedPrefixWeight / group.meanWeight
    return { state, cachedTokens, waitTokens, cost, plan }
  }
}

/** Draws at most two endpoints by capacity. When all routers compared all endpoints, they would choose the same one until each had heard of its queue. */
function drawTwo (states: readonly EndpointState[], rng: Rng): EndpointState[] {
  return [...new Set([drawByCapacity(states, state => state, rng), drawByCapacity(states, state => state, rng)])]
}

/** Finds the position in a ranking; the length of the ranking if the endpoint is not in it. */
function findRank (ranked: readonly EndpointState[], state: EndpointState): number {
  const rank = ranked.indexOf(state)
  return rank === -1 ? ranked.length : rank
}
