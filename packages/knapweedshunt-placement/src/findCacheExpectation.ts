import type { EndpointState } from './endpointState.ts'
import type { ChainLink } from './prefixChain.ts'

/** Expected cache contents of one endpoint for a request, in prompt tokens. */
export interface CacheExpectation {
  /** Tokens expected in the cache. */
  cachedTokens: number
  /** Tokens of the levels whose subsets contain the endpoint, cached or not. */
  sharedTokens: number
}

/** Time window in which observations and the computed placement are valid. */
export interface ObservationWindow {
  nowMs: number
  maxAgeMs: number
}

/** Estimates the cache contents of one of the group's `members`: assumes the computed placement, corrected by observations of this incarnation. */
export function findCacheExpectation (chain: ChainLink[], members: readonly EndpointState[], state: EndpointState, hasWeights: boolean, window: ObservationWindow): CacheExpectation {
  const oldestMs = window.nowMs - window.maxAgeMs
  const isWarm = hasWeights && state.cacheEmptySinceMs < oldestMs
  const expectation = { cachedTokens: 0, sharedTokens: 0 }
  let isShared = true
  let isContiguous = hasWeights
  let parent = members
  for (const { key, tokens, subset } of chain) {
    isShared &&= subset === parent || subset.includes(state)
    parent = subset
    if (isShared) expectation.sharedTokens = tokens
    const observation = isContiguous ? key.findObservation(state, oldestMs) : undefined
    if (observation?.isCached === false) isContiguous = false
    if (isContiguous && (observation?.isCached === true || (isShared && isWarm))) expectation.cachedTokens = tokens
  }
  return expectation
}
