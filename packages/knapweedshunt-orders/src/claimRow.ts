import type { Incarnation } from 'knapweedshunt-types'

/** Row of table `orders`: which run may send the order. Kept as a tombstone after its outcome has expired. */
export interface ClaimRow {
  /** `released`: the owner abandoned the claim before sending anything, so another claim may replace it. */
  state: 'claimed' | 'released'
  digest: string
  /** Random id of the claiming run. */
  nonce: string
  /** Router incarnation that owns the claim. */
  owner: Incarnation
  /** Owner's wall clock, in milliseconds. */
  claimedAtMs: number
}

/** A claim with its row version, which a replacing claim must match. */
export interface VersionedClaim {
  claim: ClaimRow
  version: number
}
