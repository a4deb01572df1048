import type { VmDigest } from 'knapweedshunt-membership'
import type { ResourceChange, ResourceSnapshot, Revision } from 'knapweedshunt-types'

/** What one control tells another. */
export interface ExchangeRequest {
  digests: VmDigest[]
  /** Revision the sender has. */
  revision: Revision
}

/** What the other answers; changes when it still has them, else a whole snapshot, when it is ahead. */
export interface ExchangeAnswer {
  digests: VmDigest[]
  changes: ResourceChange[] | null
  snapshot: ResourceSnapshot | null
}

/** What the router answers to a snapshot. */
export interface RouterAck {
  appliedRevision: Revision
}
