import type { VersionedClaim } from './claimRow.ts'
import type { OrderRequest } from './orderRequest.ts'
import type { RunOutcome } from './outcomeRow.ts'

/** Result of one claim attempt; the cases are described at {@link OrderEvent}. */
export type ClaimResult =
  | { type: 'claimed' }
  | { type: 'known', present: VersionedClaim, outcome: RunOutcome | null, expired: boolean }
  | { type: 'lost' }
  | { type: 'unsent' }

/** Store of claims and outcomes: the tables, or the memory of a pinned ticket's minter. */
export interface OrderLedger {
  /** Claims the order if its row has the version (0: absent). Never throws PlatformError. */
  claim (order: OrderRequest, nonce: string, version: number): Promise<ClaimResult>
  /** Keeps the outcome and writes it to the tables in the background. */
  record (order: OrderRequest, nonce: string, outcome: RunOutcome): void
  /** Resolves when a retry on any router would find the outcome, or after `maxMs`. */
  waitRecorded (order: OrderRequest, maxMs: number): Promise<void>
  /** Releases the claim. Resolves when it can no longer take effect, or when `signal` is aborted. */
  release (order: OrderRequest, nonce: string, signal: AbortSignal): Promise<void>
}
