/** When a VM sends requests to another one that reaches more endpoints. */
export interface RelayOptions {
  /** Share of a pool's endpoints from which on a VM uses them itself. */
  minReachedShare: number
  /** The other VM must reach at least this multiple of the endpoints that this one reaches; endpoints that are down are down for both. */
  minReachFactor: number
  /** Age up to which a report counts, in milliseconds. */
  maxReportAgeMs: number
  /** Time for which a VM that failed a request is avoided, in milliseconds. */
  failureTimeoutMs: number
  /** Relayed requests by which a VM of this data centre may be ahead of one in another. */
  remoteHandicap: number
}

/** Defaults for VMs that report twice a second. */
export const DEFAULT_RELAY_OPTIONS: RelayOptions = { minReachedShare: 0.5, minReachFactor: 2, maxReportAgeMs: 1_500, failureTimeoutMs: 1_000, remoteHandicap: 8 }
