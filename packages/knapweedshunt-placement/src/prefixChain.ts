import type { PrefixLevel } from 'knapweedshunt-types'
import { countSubset } from './countSubset.ts'
import type { EndpointGroup } from './endpointGroup.ts'
import type { EndpointState } from './endpointState.ts'
import type { KeyState } from './keyState.ts'
import type { KeyTable } from './keyTable.ts'
import type { PeerDemands } from './peerDemands.ts'
import type { PlacementOptions } from './placementOptions.ts'

/** Levels that are followed one by one; what lies deeper goes where the last of them goes. */
const MAX_LEVELS = 12

/** One level of a request with the endpoints that share it. */
export interface ChainLink {
  key: KeyState
  /** Whole level key. */
  level: string
  /** Prompt tokens up to the end of this level. */
  tokens: number
  /** Each level's endpoints are among those of the level before. */
  subset: readonly EndpointState[]
}

/** Cuts a prompt's levels to those that are followed; the last one always stands for the whole prompt. */
export function listFollowed (levels: PrefixLevel[]): PrefixLevel[] {
  return levels.length <= MAX_LEVELS ? levels : [...levels.slice(0, MAX_LEVELS - 1), levels[levels.length - 1]]
}

/** Adds a request's demand to its levels: what is left to compute where it goes, once the level itself is cached. */
export function noteDemand (levels: PrefixLevel[], cachedTokens: number, table: KeyTable, options: PlacementOptions, nowMs: number): void {
  const total = levels[levels.length - 1].tokens
  for (const level of levels) {
    const left = total - Math.max(level.tokens, cachedTokens)
    table.take(level.key, nowMs).demand.add(left + options.requestTokens, nowMs)
  }
}

/** Corrects a request's demand once its answer told what was cached: prefixes that get lost need more endpoints. */
export function recordCachedTokens (levels: PrefixLevel[], expectedTokens: number, cachedTokens: number, table: KeyTable, nowMs: number): void {
  for (const { key, tokens } of levels) {
    table.find(key)?.demand.add(Math.max(tokens, expectedTokens) - Math.max(tokens, cachedTokens), nowMs)
  }
}

/** Builds the nested subsets of a request in one group. */
export function buildChain (levels: PrefixLevel[], group: EndpointGroup, table: KeyTable, peers: PeerDemands, carriedTokensPerS: number, nowMs: number): ChainLink[] {
  const carried = carriedTokensPerS * group.meanWeight
  const chain: ChainLink[] = []
  let parent = group.members
  for (const level of levels) {
    const key = table.take(level.key, nowMs)
    const demand = key.demand.countTokensPerS(nowMs) + peers.countTokensPerS(key.shortKey)
    key.size = countSubset(key.size, demand, carried)
    parent = key.chooseSubset(parent)
    chain.push({ key, level: level.key, tokens: level.tokens, subset: parent })
  }
  return chain
}
