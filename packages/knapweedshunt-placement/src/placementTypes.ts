import type { AttemptId, DataCentreId, EndpointName, Incarnation, PoolName, PrefixLevel, RouterSnapshot, VmId, WeightsVersion } from 'knapweedshunt-types'

/** A request to be placed. */
export interface PlaceRequest {
  pool: PoolName
  /** Outermost level first; empty for plain services. */
  levels: PrefixLevel[]
  /** Endpoints already tried. */
  excluded: EndpointName[]
  /** Endpoints that take no request of this kind now: the next in a ranking stand in for them. */
  unavailable?: EndpointName[]
  /** A long job may wait for a warm endpoint when its pool puts reuse first; `short` if absent. */
  job?: 'short' | 'long'
}

/** A kept KV cache that the endpoint should import before it computes the rest. */
export interface KvImport {
  /** Level key that the kept blocks end with; salted, so equal only for one organisation, model, adapter and weights. */
  key: string
  /** Prompt tokens that the import covers. */
  tokens: number
}

/** A chosen endpoint. */
export interface PlacedDecision {
  type: 'placed'
  endpoint: EndpointName
  /** Incarnation that all expectations speak of; empty if the endpoint was never heard. */
  incarnation: Incarnation
  url: string
  dataCentre: DataCentreId
  /** Position in the outermost key's ranking of that data centre, 0 first; at least 16 stands for any later one. */
  rank: number
  /** Prompt tokens expected in this incarnation's cache; an estimate, never relied on. */
  expectedCachedTokens?: number
  /** Expected wait before the prompt is computed, in milliseconds. */
  expectedWaitMs?: number
  /** Import that is cheaper than to recompute, if any. */
  kvImport?: KvImport | null
}

/** Where a request goes. */
export type PlaceDecision =
  | PlacedDecision
  | { type: 'unplaceable', reason: 'no-endpoint' | 'all-excluded' }

/** Demand under one hot key. */
export interface KeyDemand {
  /** First 16 hex characters of the level key. */
  key: string
  /** Prompt tokens to compute per second under the key, rounded. */
  tokensPerS: number
}

/** One entry of an endpoint's cache event stream, in level keys; `n` grows by one per entry. */
export interface CacheEntry {
  n: number
  type: 'stored' | 'evicted'
  key: string
}

/** A KV cache in the store of kept caches. */
export interface KeptEntry {
  key: string
  tokens: number
}

/** What the placement must hear of. */
export type PlacementEvent =
  | { type: 'snapshot', snapshot: RouterSnapshot }
  /** An attempt was sent. `levels` lets later requests expect its prompt in the cache; `decision` ties it to an incarnation. */
  | { type: 'started', attempt: AttemptId, endpoint: EndpointName, tokens: number, levels?: PrefixLevel[], decision?: PlacedDecision }
  /** The endpoint's answer began; names the incarnation and weights that really serve. */
  | { type: 'answered', attempt: AttemptId, incarnation: Incarnation, weightsVersion: WeightsVersion | null }
  /** An attempt ended; `cachedTokens` is null if the endpoint did not say. */
  | { type: 'finished', attempt: AttemptId, cachedTokens: number | null }
  /** Entries of a followed cache event stream that are `lagMs` old. */
  | { type: 'cacheEvents', endpoint: EndpointName, incarnation: Incarnation, weightsVersion: WeightsVersion | null, entries: CacheEntry[], lagMs: number }
  /** A peer's whole list of hot keys; a lower `n` from one incarnation is late and ignored. */
  | { type: 'peerDemand', vm: VmId, incarnation: Incarnation, dataCentre: DataCentreId, n: number, demands: KeyDemand[] }
  /** The whole list of kept KV caches worth importing. */
  | { type: 'kept', entries: KeptEntry[] }
