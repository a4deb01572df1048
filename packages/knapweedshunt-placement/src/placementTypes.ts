import type { AttemptId, DataCentreId, EndpointName, Incarnation, PoolName, PrefixLevel, RouterSnapshot, VmId, WeightsVersion } from 'knapweedshunt-types'

/** A request for which an endpoint is to be chosen. */
export interface PlaceRequest {
  pool: PoolName
  /** Outermost level first; empty for plain services. */
  levels: PrefixLevel[]
  /** Endpoints that must not be chosen, such as those already tried. */
  excluded: EndpointName[]
  /** Endpoints that accept no request of this kind now; the ranking is built without them, so the next ones take their place. */
  unavailable?: EndpointName[]
  /** A long job may wait longer for an endpoint with a warm cache if the objective of its pool is reuse; `short` if absent. */
  job?: 'short' | 'long'
}

/** A KV cache in the KV store that the endpoint should import before it computes the rest of the prompt. */
export interface KvImport {
  /** Key of the last level that the stored blocks cover; salted, so equal only for one organisation, model, adapter and weights. */
  key: string
  /** Prompt tokens that the import covers. */
  tokens: number
}

/** A chosen endpoint with the estimates that led to the choice. */
export interface PlacedDecision {
  type: 'placed'
  endpoint: EndpointName
  /** Incarnation that the estimates refer to; empty if no report of the endpoint has been received. */
  incarnation: Incarnation
  url: string
  dataCentre: DataCentreId
  /** Zero-based position in the outermost key's ranking of that data centre; values from 16 on may stand for any later position. */
  rank: number
  /** Prompt tokens expected in the cache of this incarnation; an estimate that correctness must not depend on. */
  expectedCachedTokens?: number
  /** Expected wait before the prompt is computed, in milliseconds. */
  expectedWaitMs?: number
  /** Import that is cheaper than recomputing the same tokens; null if there is none. */
  kvImport?: KvImport | null
}

/** Result of a placement: an endpoint, or why there is none. */
export type PlaceDecision =
  | PlacedDecision
  | { type: 'unplaceable', reason: 'no-endpoint' | 'all-excluded' }

/** Demand of one hot key, as exchanged between peers. */
export interface KeyDemand {
  /** First 16 hex characters of the level key. */
  key: string
  /** Prompt tokens to compute per second for the key, rounded. */
  tokensPerS: number
}

/** One entry of an endpoint's cache event stream, in level keys; `n` grows by one per entry. */
export interface CacheEntry {
  n: number
  type: 'stored' | 'evicted'
  key: string
}

/** A KV cache in the KV store: the key of its last level and the prompt tokens that it covers. */
export interface KvStoreEntry {
  key: string
  tokens: number
}

/** Events that the placement needs to be told about. */
export type PlacementEvent =
  | { type: 'snapshot', snapshot: RouterSnapshot }
  /** An attempt was sent. `levels` marks its prompt as expected in the cache for later requests; `decision` binds it to an incarnation. */
  | { type: 'started', attempt: AttemptId, endpoint: EndpointName, tokens: number, levels?: PrefixLevel[], decision?: PlacedDecision }
  /** The response began; carries the incarnation and weights version that actually serve the attempt. */
  | { type: 'answered', attempt: AttemptId, incarnation: Incarnation, weightsVersion: WeightsVersion | null }
  /** An attempt ended; `cachedTokens` is null if the endpoint did not report it. */
  | { type: 'finished', attempt: AttemptId, cachedTokens: number | null }
  /** Entries of an endpoint's cache event stream that are `lagMs` old. */
  | { type: 'cacheEvents', endpoint: EndpointName, incarnation: Incarnation, weightsVersion: WeightsVersion | null, entries: CacheEntry[], lagMs: number }
  /** A peer's complete list of hot keys; within one incarnation a list whose `n` is not greater than the last one is ignored as late or duplicate. */
  | { type: 'peerDemand', vm: VmId, incarnation: Incarnation, dataCentre: DataCentreId, n: number, demands: KeyDemand[] }
  /** The complete list of KV caches in the KV store that are worth importing. */
  | { type: 'kvStore', entries: KvStoreEntry[] }
