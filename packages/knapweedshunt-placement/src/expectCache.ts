import type { EndpointState } from './endpointState.ts'
import type { ChainLink } from './prefixChain.ts'

/** What a request may expect of one endpoint's cache, in prompt tokens. */
export interface CacheExpectation {
  /** Tokens expected in the cache. */
  cachedTokens: number
  /** Tokens for which the endpoint is among those that share the prefix, cached or not. */
  sharedTokens: number
}

/** Times between which evidence and the computed placement count. */
export interface CacheWindow {
  nowMs: number
  evidenceMs: number
}

/** Finds what is expected of one of the group's `members`: computed placement first, corrected by what was learned of this incarnation. */
export function findCacheExpectation (chain: ChainLink[], members: readonly EndpointState[], state: EndpointState, hasWeights: boolean, window: CacheWindow): CacheExpectation {
  const oldestMs = window.nowMs - window.evidenceMs
  const isFilled = hasWeights && state.emptySinceMs < oldestMs
  const expectation = { cachedTokens: 0, sharedTokens: 0 }
  let isShared = true
  let isOpen = hasWeights
  let outer = members
  for (const { key, tokens, subset } of chain) {
    isShared &&= subset === outer || subset.includes(state)
    outer = subset
    if (isShared) expectation.sharedTokens = tokens
    const evidence = isOpen ? key.findEvidence(state, oldestMs) : undefined
    if (evidence?.present === false) isOpen = false
    if (isOpen && (evidence?.present === true || (isShared && isFilled))) expectation.cachedTokens = tokens
  }
  return expectation
}
