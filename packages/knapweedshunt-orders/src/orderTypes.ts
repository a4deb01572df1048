import type { Incarnation, OrganisationName, Ran, RecordedAnswer } from 'knapweedshunt-types'

/** An order under a caller's own key. */
export interface OrderRequest {
  organisation: OrganisationName
  /** `Idempotency-Key` of the caller; scoped to the organisation. */
  key: string
  /** Digest of the request; the same key with another digest is an error. */
  digest: string
}

/** Claim row as stored. */
export interface ClaimRow {
  digest: string
  /** Random id of the claiming attempt. */
  nonce: string
  /** Router incarnation that owns the claim. */
  owner: Incarnation
  ran: Ran
  answer: RecordedAnswer | null
}

/** What a router may do with an order. */
export type ClaimResult =
  /** The order may be sent now, by this router only. */
  | { type: 'claimed', nonce: string }
  /** Another attempt has it; nothing may be sent. */
  | { type: 'known', ran: Ran, answer: RecordedAnswer | null }
  /** The key was used for another request. */
  | { type: 'mismatch' }
  /** The tables gave no answer; this attempt sent nothing. */
  | { type: 'unreadable' }
