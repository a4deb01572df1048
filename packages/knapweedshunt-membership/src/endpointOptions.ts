/** Thresholds of endpoint failure detection; times in milliseconds. */
export interface EndpointOptions {
  /** Time without a load report after which an endpoint is suspect. */
  suspectAfterMs: number
  /** Time without a load report after which it is dead if requests to it failed too. */
  deadAfterFailureMs: number
  /** Time without a load report after which it is dead even if no request failed. */
  deadAfterMs: number
  /** Time for which a failed request counts. */
  failureWindowMs: number
  /** Consecutive polls with a refused connection after which it is dead, since nothing listens on its port. */
  deadAfterRefusals: number
  /** Failed requests, with no answered one since, that make it suspect. */
  suspectAfterFailures: number
}

/** Defaults for one load report per second. */
export const DEFAULT_ENDPOINT_OPTIONS: EndpointOptions = {
  suspectAfterMs: 2_500,
  deadAfterFailureMs: 3_000,
  deadAfterMs: 10_000,
  failureWindowMs: 5_000,
  deadAfterRefusals: 2,
  suspectAfterFailures: 2
}
