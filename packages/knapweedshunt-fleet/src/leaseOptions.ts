/** Timing of a lease, all in milliseconds. */
export interface LeaseOptions {
  /** How long a renewal lasts. */
  durationMs: number
  /** The holder stops acting this long before the end; covers clock drift and a pause between a check and its send. */
  guardMs: number
  /** Time between two renewals, or between two looks at another's lease. */
  intervalMs: number
  /** Longest time an order may run at an endpoint; waited out where fencing numbers are ignored. */
  longestOrderMs: number
}

/** Bounds for a platform that answers within a second. */
export const DEFAULT_LEASE_OPTIONS: LeaseOptions = { durationMs: 10_000, guardMs: 2_000, intervalMs: 2_500, longestOrderMs: 10_000 }
