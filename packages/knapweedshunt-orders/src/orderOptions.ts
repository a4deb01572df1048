import { DEFAULT_GROUP_OPTIONS } from 'knapweedshunt-platform'
import type { BackoffOptions, GroupOptions } from 'knapweedshunt-platform'

const SECOND_MS = 1_000
const HOUR_MS = 3_600 * SECOND_MS

/** Bounds of the order path. All times in milliseconds. */
export interface OrderOptions {
  /** Longest time a caller waits for a claim to be settled. */
  patienceMs: number
  /** Longest time after the deadline in which a late answer is still recorded. */
  lingerMs: number
  /** Age from which a claim without outcome is called `may-have-run` in place of `in-progress`. */
  maxRunMs: number
  /** Age up to which answers are kept and a key may be placed again. */
  retentionMs: number
  /** Age up to which claims are kept as tombstones; longer than any caller repeats an undated key. */
  tombstoneMs: number
  /** Life of a ticket. */
  ticketMs: number
  /** Age up to which an answer of the tables counts as "they answer" when a ticket is minted. */
  probeMs: number
  /** Longest answer that is kept, in characters. */
  maxAnswerChars: number
  /** Most characters of outcomes that wait for the tables; beyond, no order is begun until they take some. Orders under way may exceed it. */
  maxHeldChars: number
  maxAttempts: number
  maxResends: number
  /** Time an outcome waits for others to share its transaction. */
  outcomeLingerMs: number
  /** Longest time an answer waits for its record in the tables, so that a retry elsewhere finds it. */
  recordHoldMs: number
  backoff: BackoffOptions
  group: GroupOptions
  /** Longest time that a shutdown waits for the tables. */
  closeMs: number
  /** Seed of jitter. */
  seed: number
}

/** Bounds for deployments of today's size; what is held takes up to 32 MB of a VM of 200 MB. */
export const DEFAULT_ORDER_OPTIONS: OrderOptions = {
  patienceMs: 3 * SECOND_MS,
  lingerMs: 30 * SECOND_MS,
  maxRunMs: 300 * SECOND_MS,
  retentionMs: 24 * HOUR_MS,
  tombstoneMs: 720 * HOUR_MS,
  ticketMs: 600 * SECOND_MS,
  probeMs: SECOND_MS,
  maxAnswerChars: 64 * 1024,
  maxHeldChars: 16 * 1024 * 1024,
  maxAttempts: 4,
  maxResends: 2,
  outcomeLingerMs: 0,
  recordHoldMs: 250,
  backoff: { firstMs: 50, maxMs: 2 * SECOND_MS },
  group: DEFAULT_GROUP_OPTIONS,
  closeMs: 5 * SECOND_MS,
  seed: 1
}
