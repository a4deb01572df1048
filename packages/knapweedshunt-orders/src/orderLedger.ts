import type { VersionedClaim } from './claimRow.ts'
import type { OrderRequest } from './orderRequest.ts'
import type { RunOutcome } from './outcomeRow.ts'

/** Result of one try to claim; the cases are those of {@link OrderEvent}. */
export type ClaimResult =
  | { type: 'claimed' }
  | { type: 'known', present: VersionedClaim, outcome: RunOutcome | null, expired: boolean }
  | { type: 'lost' }
  | { type: 'unsent' }

/** Where claims and outcomes are kept: the tables, or the memory of a pinned ticket's minter. */
export interface OrderLedger {
  /** Never throws PlatformError. */
  claim (order: OrderRequest, nonce: string, version: number): Promise<ClaimResult>
  /** Resolves when the outcome is kept for good, or `signal` aborted. */
  record (order: OrderRequest, nonce: string, outcome: RunOutcome, signal: AbortSignal): Promise<void>
  /** Resolves when the claim can no longer take effect, or `signal` aborted. */
  release (order: OrderRequest, nonce: string, signal: AbortSignal): Promise<void>
}
