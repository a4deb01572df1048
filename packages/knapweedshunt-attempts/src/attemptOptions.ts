import type { StreamVersions } from './streamVersions.ts'

/** Options of the attempts of one request. */
export interface AttemptOptions {
  requestId: string
  /** Whether the request may be sent again after bytes of it were sent. */
  repeatable: boolean
  /** Index of the first token to deliver to the caller. */
  resumeFrom: number
  /** What began the stream, if it was begun in another response; null if this one begins it. */
  origin: StreamVersions | null
  /** Monotonic clock, in milliseconds. */
  deadlineAtMs: number
  /** Maximum number of attempts, including hedges. */
  maxAttempts: number
  /** Delay before the first retry, before jitter, in milliseconds; it doubles with each retry up to `maxBackoffMs`. */
  backoffMs: number
  maxBackoffMs: number
  /** Time without a first token after which a hedged attempt starts, in milliseconds; null disables hedging. */
  hedgeAfterMs: number | null
  /** Retry delay suggested to the caller of a failed request, before jitter, in milliseconds. */
  retryAfterMs: number
  /** Seed of the random jitter. */
  seed: number
}

/** Defaults of the options that do not depend on the request. */
export const DEFAULT_ATTEMPT_OPTIONS = {
  origin: null,
  maxAttempts: 4,
  backoffMs: 20,
  maxBackoffMs: 1_000,
  hedgeAfterMs: null,
  retryAfterMs: 1_000,
  seed: 1
} as const satisfies Partial<AttemptOptions>
