import { DEFAULT_GROUP_COMMIT_OPTIONS } from 'knapweedshunt-platform'
import type { BackoffOptions, GroupCommitOptions } from 'knapweedshunt-platform'

const SECOND_MS = 1_000
const HOUR_MS = 3_600 * SECOND_MS

/** Limits and timeouts of order execution. All times are in milliseconds. */
export interface OrderOptions {
  /** Longest time a caller waits for the claim to be settled. */
  claimTimeoutMs: number
  /** Longest time after the deadline in which a late answer is still recorded. */
  lateAnswerTimeoutMs: number
  /** Age from which a claim without an outcome is reported as `may-have-run` instead of `in-progress`. */
  maxRunMs: number
  /** Age up to which answers are kept and a request may be repeated under its key. */
  retentionMs: number
  /** Age up to which claims are kept as tombstones; must exceed the time within which a caller may repeat an undated key. */
  tombstoneRetentionMs: number
  /** Time from minting a ticket to its expiry. */
  ticketLifetimeMs: number
  /** Minimum interval between availability probes of the tables; minting a ticket reuses a younger result. */
  probeIntervalMs: number
  /** Longest answer that is recorded, in characters. */
  maxAnswerChars: number
  /** Maximum size of unwritten outcomes, in characters. At the limit, new orders are refused until some are written; running orders may exceed it. */
  maxUnwrittenChars: number
  maxAttempts: number
  maxResends: number
  /** Longest time an outcome waits for others to be batched into its transaction. */
  outcomeBatchDelayMs: number
  /** Longest time an answer is delayed until it is recorded in the tables, so that a retry on another router finds it. */
  recordTimeoutMs: number
  backoff: BackoffOptions
  group: GroupCommitOptions
  /** Longest time that a shutdown waits for writes to the tables. */
  shutdownTimeoutMs: number
  /** Seed of the random number generator for backoff jitter. */
  seed: number
}

/** Defaults for current deployment sizes. The unwritten outcomes take up to 32 MB of a VM with 200 MB. */
export const DEFAULT_ORDER_OPTIONS: OrderOptions = {
  claimTimeoutMs: 3 * SECOND_MS,
  lateAnswerTimeoutMs: 30 * SECOND_MS,
  maxRunMs: 300 * SECOND_MS,
  retentionMs: 24 * HOUR_MS,
  tombstoneRetentionMs: 720 * HOUR_MS,
  ticketLifetimeMs: 600 * SECOND_MS,
  probeIntervalMs: SECOND_MS,
  maxAnswerChars: 64 * 1024,
  maxUnwrittenChars: 16 * 1024 * 1024,
  maxAttempts: 4,
  maxResends: 2,
  outcomeBatchDelayMs: 0,
  recordTimeoutMs: 250,
  backoff: { initialDelayMs: 50, maxDelayMs: 2 * SECOND_MS },
  group: DEFAULT_GROUP_COMMIT_OPTIONS,
  shutdownTimeoutMs: 5 * SECOND_MS,
  seed: 1
}
