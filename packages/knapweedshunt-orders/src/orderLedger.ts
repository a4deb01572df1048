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
  /** Keeps the outcome, and sees to it that the tables get it. */
  record (order: OrderRequest, nonce: string, outcome: RunOutcome): void
  /** Resolves when a retry on any router finds the outcome, or after `maxMs`. */
  waitRecorded (order: OrderRequest, maxMs: number): Promise<void>
  /** Resolves when the claim can no longer take effect, or `signal` aborted. */
  release (order: OrderRequest, nonce: string, signal: AbortSignal): Promise<void>
}
