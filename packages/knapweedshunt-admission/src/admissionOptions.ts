/** Options of the admission. */
export interface AdmissionOptions {
  /** Name of this VM, as peers know it. */
  vm: string
  /** Seed of the jitter. */
  seed: number
  /** Most requests that wait for one pool. */
  maxQueue: number
  /** Least suggested wait of a refused caller, in milliseconds. */
  retryAfterMs: number
  /** Longest suggested wait, in milliseconds. */
  maxRetryAfterMs: number
  /** Of this many starts, one may go to an aged request while a better class waits. */
  agedEvery: number
  window: WindowOptions
}

/** Options of an endpoint's concurrency window. */
export interface WindowOptions {
  min: number
  initial: number
  max: number
  /** Delay to the first token that is wanted, in milliseconds. */
  targetMs: number
  /** Allowance for the prompt's own work, in milliseconds per token. */
  tokenMs: number
  /** Share of delays over the target at which the window shrinks. */
  lateShare: number
  /** Factor by which a window shrinks, 0 to 1. */
  shrink: number
  /** The same when more than half of the delays were late. */
  fastShrink: number
}

/** Options for a first token within 0.74 s for 95 in 100. */
export const DEFAULT_ADMISSION_OPTIONS: AdmissionOptions = {
  vm: 'vm-1',
  seed: 1,
  maxQueue: 1_000,
  retryAfterMs: 500,
  maxRetryAfterMs: 30_000,
  agedEvery: 4,
  window: { min: 1, initial: 32, max: 256, targetMs: 500, tokenMs: 0.2, lateShare: 0.05, shrink: 0.85, fastShrink: 0.5 }
}
