import type { PrefixLevel } from 'knapweedshunt-types'
import { computeSubsetSize } from './computeSubsetSize.ts'
import type { EndpointGroup } from './endpointGroup.ts'
import type { EndpointState } from './endpointState.ts'
import type { KeyState } from './keyState.ts'
import type { KeyTable } from './keyTable.ts'
import type { PeerDemands } from './peerDemands.ts'
import type { PlacementOptions } from './placementOptions.ts'

/** Maximum number of levels tracked individually; deeper levels are merged into the last one. */
const MAX_LEVELS = 12

/** One level of a request with the subset of endpoints that share it. */
export interface ChainLink {
  key: KeyState
  /** Full level key. */
  levelKey: string
  /** Prompt tokens up to the end of this level. */
  tokens: number
  /** A subset of the endpoints of the level before. */
  subset: readonly EndpointState[]
}

/** Limits the levels of a prompt to those that are tracked; the last one always covers the whole prompt. */
export function limitLevels (levels: PrefixLevel[]): PrefixLevel[] {
  return levels.length <= MAX_LEVELS ? levels : [...levels.slice(0, MAX_LEVELS - 1), levels[levels.length - 1]]
}

/** Adds the demand of a request to its levels: the tokens left to compute on the chosen endpoint once the level itself is cached. */
export function recordDemand (levels: PrefixLevel[], cachedTokens: number, table: KeyTable, options: PlacementOptions, nowMs: number): void {
  const total = levels[levels.length - 1].tokens
  for (const level of levels) {
    const remainingTokens = total - Math.max(level.tokens, cachedTokens)
    table.getOrCreate(level.key, nowMs).demand.add(remainingTokens + options.requestOverheadTokens, nowMs)
  }
}

/** Corrects the demand of a request by the cached tokens that its response reported: prefixes that get evicted cause more computation and need more endpoints. */
export function correctDemand (levels: PrefixLevel[], expectedTokens: number, cachedTokens: number, table: KeyTable, nowMs: number): void {
  for (const { key, tokens } of levels) {
    table.find(key)?.demand.add(Math.max(tokens, expectedTokens) - Math.max(tokens, cachedTokens), nowMs)
  }
}

/** Builds the nested endpoint subsets of a request in one group. */
export function buildChain (levels: PrefixLevel[], group: EndpointGroup, table: KeyTable, peerDemands: PeerDemands, maxKeyTokensPerS: number, nowMs: number): ChainLink[] {
  const maxTokensPerS = maxKeyTokensPerS * group.meanWeight
  const chain: ChainLink[] = []
  let parent = group.members
  for (const level of levels) {
    const key = table.getOrCreate(level.key, nowMs)
    const demand = key.demand.countTokensPerS(nowMs) + peerDemands.countTokensPerS(key.shortKey)
    key.size = computeSubsetSize(key.size, demand, maxTokensPerS)
    parent = key.chooseSubset(parent)
    chain.push({ key, levelKey: level.key, tokens: level.tokens, subset: parent })
  }
  return chain
}
