/** Minimum lead of the wall clock over the monotonic clock that counts as a suspension; exceeds the drift and slewing between two reads. */
const SUSPENSION_THRESHOLD_MS = 250

let lastMonotonicMs = performance.now()
let lastWallMs = Date.now()
let suspendedMs = 0

/**
 * Reads a clock, in milliseconds, that never goes backwards and includes the time in which the VM was suspended.
 * The monotonic clock stops during a suspension and the wall clock does not, so a lead of the wall clock is counted as one.
 * A forward step of the wall clock looks the same, so this clock may run fast: use it only where overestimating elapsed
 * time is harmless, such as for the age of data.
 */
export function readElapsedMs (): number {
  const monotonicNowMs = performance.now()
  const wallNowMs = Date.now()
  const wallLeadMs = (wallNowMs - lastWallMs) - (monotonicNowMs - lastMonotonicMs)
  if (wallLeadMs > SUSPENSION_THRESHOLD_MS) suspendedMs += wallLeadMs
  if (Math.abs(wallLeadMs) > SUSPENSION_THRESHOLD_MS || monotonicNowMs - lastMonotonicMs > SUSPENSION_THRESHOLD_MS) {
    lastMonotonicMs = monotonicNowMs
    lastWallMs = wallNowMs
  }
  return monotonicNowMs + suspendedMs
}
