/** Options of `Admission`. */
export interface AdmissionOptions {
  /** Name of this VM. Demands received under it are ignored. */
  vm: string
  /** Seed of the random jitter. */
  seed: number
  /** Maximum number of waiting requests per pool. */
  maxQueuedRequests: number
  /** Minimum retry delay suggested to a refused caller, before jitter, in milliseconds. */
  retryAfterMs: number
  /** Maximum retry delay suggested to a refused caller, before jitter, in milliseconds. */
  maxRetryAfterMs: number
  /** While a class of lower rank waits, at most one start in this many goes to an aged request. */
  agedStartInterval: number
  window: WindowOptions
}

/** Options of an endpoint's concurrency window. Sizes are numbers of attempts in flight. */
export interface WindowOptions {
  min: number
  initial: number
  max: number
  /** Target time to the first token, in milliseconds. */
  targetMs: number
  /** Added to the target for each prompt token, to allow for prefill, in milliseconds. */
  allowanceMsPerToken: number
  /** The window shrinks when a larger share of the delays than this exceeds the target. */
  lateShareThreshold: number
  /** Factor applied to the window size when it shrinks, 0 to 1. */
  shrinkFactor: number
  /** Factor applied instead when more than half of the delays exceed the target. */
  fastShrinkFactor: number
}

/** Aims at a 95th percentile of 0.74 s for the time to the first token. */
export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = {
  vm: 'vm-1',
  seed: 1,
  maxQueuedRequests: 1_000,
  retryAfterMs: 500,
  maxRetryAfterMs: 30_000,
  agedStartInterval: 4,
  window: { min: 1, initial: 32, max: 256, targetMs: 500, allowanceMsPerToken: 0.2, lateShareThreshold: 0.05, shrinkFactor: 0.85, fastShrinkFactor: 0.5 }
}
