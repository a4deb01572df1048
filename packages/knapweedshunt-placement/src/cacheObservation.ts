import type { AttemptId } from 'knapweedshunt-types'
import type { EndpointState } from './endpointState.ts'

/** Latest observation of whether one endpoint incarnation has a key cached. */
export interface CacheObservation {
  state: EndpointState
  isCached: boolean
  atMs: number
  /** Attempt that is expected to fill the cache with the key; null for a cache event. */
  attempt: AttemptId | null
  /** Stream epoch at the observation. One from a cache event is valid only until a later entry of the stream is lost, see {@link EndpointState.cacheStreamEpoch}. */
  cacheStreamEpoch: number
}
