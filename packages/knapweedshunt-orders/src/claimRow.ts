import type { Incarnation } from 'knapweedshunt-types'

/** Row of table `orders`: who may run the order. Kept as a tombstone after the outcome expired. */
export interface ClaimRow {
  /** `released`: its owner gave up before sending anything, and another claim may replace it. */
  state: 'claimed' | 'released'
  digest: string
  /** Random id of the claiming run. */
  nonce: string
  /** Router incarnation that owns the claim. */
  owner: Incarnation
  /** Wall clock of the owner, in milliseconds. */
  claimedAtMs: number
}

/** A claim with its row version. */
export interface VersionedClaim {
  claim: ClaimRow
  version: number
}
