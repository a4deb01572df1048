/** When an endpoint is excluded for failed requests; times in milliseconds. */
export interface HealthOptions {
  /** Duration of the first exclusion after a failure of the whole endpoint; doubles with each consecutive one. */
  baseExclusionMs: number
  maxExclusionMs: number
  /** Half-life of the request and failure counts. */
  halfLifeMs: number
  /** Minimum decayed request count for the failed share to be used. */
  minRequests: number
  /** Minimum fraction of failed requests for an exclusion. */
  minFailedShare: number
  /** The fraction must also be at least this multiple of the pool's mean. */
  poolMeanFactor: number
}

/** Defaults: an endpoint that restarts after a crash is used again within a second. */
export const DEFAULT_HEALTH_OPTIONS: HealthOptions = { baseExclusionMs: 400, maxExclusionMs: 3_000, halfLifeMs: 3_000, minRequests: 2, minFailedShare: 0.25, poolMeanFactor: 1.8 }
