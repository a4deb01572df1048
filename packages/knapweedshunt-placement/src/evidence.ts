import type { AttemptId } from 'knapweedshunt-types'
import type { EndpointState } from './endpointState.ts'

/** What was last learned of one key on one endpoint incarnation. */
export interface Evidence {
  state: EndpointState
  present: boolean
  atMs: number
  /** Attempt that is to bring the key, null for a cache event. */
  attempt: AttemptId | null
  /** Cache events only count while no later entry of their stream was lost, see {@link EndpointState.followEpoch}. */
  followEpoch: number
}
