/** Options of one request's attempts. */
export interface AttemptOptions {
  requestId: string
  /** Whether the request may be sent again after a byte of it was sent. */
  repeatable: boolean
  /** First token the caller wants. */
  resumeFrom: number
  /** By the monotonic clock, milliseconds. */
  deadlineAtMs: number
  /** Most attempts, hedges with them. */
  maxAttempts: number
  /** Shortest and longest wait before a retry, in milliseconds; it doubles with each. */
  backOffMs: number
  maxBackOffMs: number
  /** Wait for the first token after which a second attempt is started, in milliseconds; null for none. */
  hedgeAfterMs: number | null
  /** Wait suggested to a caller whose request failed, in milliseconds, before jitter. */
  retryAfterMs: number
  /** Seed of the jitter. */
  seed: number
}

/** Options that do not depend on the request. */
export const DEFAULT_ATTEMPT_OPTIONS = {
  maxAttempts: 4,
  backOffMs: 20,
  maxBackOffMs: 1_000,
  hedgeAfterMs: null,
  retryAfterMs: 1_000,
  seed: 1
} as const satisfies Partial<AttemptOptions>
