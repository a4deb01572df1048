/** Timing of endpoint liveness, all in milliseconds. */
export interface EndpointOptions {
  /** Silence of the load report after which an endpoint is suspect. */
  suspectAfterMs: number
  /** Silence after which it is dead when the data path fails too. */
  deadWithDataPathAfterMs: number
  /** Silence after which it is dead by itself. */
  deadAfterMs: number
  /** Time for which a failure on the data path counts. */
  failureMs: number
  /** Refused connections in a row after which it is dead: nothing listens. */
  deadAfterRefusals: number
  /** Failures on the data path, without a success since, that make it suspect. */
  suspectAfterFailures: number
}

/** Bounds for a report a second. */
export const DEFAULT_ENDPOINT_OPTIONS: EndpointOptions = {
  suspectAfterMs: 2_500,
  deadWithDataPathAfterMs: 3_000,
  deadAfterMs: 10_000,
  failureMs: 5_000,
  deadAfterRefusals: 2,
  suspectAfterFailures: 2
}
