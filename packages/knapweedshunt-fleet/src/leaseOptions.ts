/** Timing of a lease; all values in milliseconds. */
export interface LeaseOptions {
  /** Validity of the lease after each acquisition or renewal. */
  durationMs: number
  /** Validity while the platform answers at once, if shorter: the next holder has to wait less. */
  minDurationMs?: number
  /** The holder stops sending commands this long before expiry; covers clock drift and a pause between the check and the send. */
  guardMs: number
  /** Time between two renewals, or between two reads of a lease held by another contender. */
  intervalMs: number
  /** Maximum time for which a command may run at an endpoint; waited out for endpoints that do not check fencing tokens. */
  maxCommandMs: number
}

/** Defaults for a platform that answers within a second. */
export const DEFAULT_LEASE_OPTIONS: LeaseOptions = { durationMs: 10_000, guardMs: 2_000, intervalMs: 2_500, maxCommandMs: 10_000 }
