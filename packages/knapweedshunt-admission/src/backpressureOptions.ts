/** How the backpressure that endpoints state is kept; times in milliseconds. */
export interface BackpressureOptions {
  /** Time after a back-off within which the endpoint gets one request at a time, until a response to one is no rejection. */
  provingMs: number
  /** Time for which a pool counts as brittle after an endpoint of it said so. */
  brittleRetentionMs: number
  /** Bounds of the pause after a brittle endpoint rejected a request. */
  minPauseMs: number
  maxPauseMs: number
  /** Margin on the pause by which all VMs together stay below the rejections that the endpoint bears. */
  pauseFactor: number
  /** Share of this VM's part of an endpoint's slots that it uses at first once the endpoint is brittle. */
  initialWindowShare: number
  /** Time without a rejection after which a brittle endpoint gets one request more at a time. */
  windowGrowthMs: number
  /** Time after a rejection in a brittle pool within which the end of one of its endpoints is no sign of a request that crashes it. */
  doubtfulEndMs: number
}

/** Defaults for endpoints that are back some seconds after they ended. */
export const DEFAULT_BACKPRESSURE_OPTIONS: BackpressureOptions = { provingMs: 1_000, brittleRetentionMs: 10_000, minPauseMs: 250, maxPauseMs: 5_000, pauseFactor: 1.3, initialWindowShare: 0.5, windowGrowthMs: 2_000, doubtfulEndMs: 3_000 }
