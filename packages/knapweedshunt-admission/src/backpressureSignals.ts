/** What one response of an endpoint says about its load and end, apart from its rate limit. */
export interface BackpressureSignals {
  /** Whether the endpoint rejected the request without running it. */
  isRejected: boolean
  /** Time for which the endpoint wants nothing from this VM, in milliseconds; null if it does not say. */
  backoffMs: number | null
  /** Whether the endpoint is about to stop. */
  isLeaving: boolean
  /** Rejections for want of room in a second above which the endpoint ends; null if it does not say. */
  maxRejectionsPerS: number | null
}
