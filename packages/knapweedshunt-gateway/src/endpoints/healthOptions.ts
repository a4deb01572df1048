/** When an endpoint is left out for what was seen of it; times in milliseconds. */
export interface HealthOptions {
  /** First time out after a failure that speaks of the whole endpoint; doubles with each in a row. */
  outMs: number
  maxOutMs: number
  /** Time in which half of what was counted is forgotten. */
  halfLifeMs: number
  /** Least decayed count of requests from which on a share is believed. */
  minRequests: number
  /** Share of failed requests from which on an endpoint may be left out. */
  failedShare: number
  /** The share must also be this many times the mean of the pool. */
  meanFactor: number
}

/** Defaults: an endpoint that is back after a crash is used again within a second. */
export const DEFAULT_HEALTH_OPTIONS: HealthOptions = { outMs: 400, maxOutMs: 3_000, halfLifeMs: 3_000, minRequests: 2, failedShare: 0.25, meanFactor: 1.8 }
