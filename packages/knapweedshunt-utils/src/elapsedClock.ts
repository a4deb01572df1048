/** Least lead of the time of day over the monotonic clock that counts as a suspension, in milliseconds; above the drift and slewing between two looks. */
const SUSPEND_MS = 250

let monotonicMs = performance.now()
let wallMs = Date.now()
let suspendedMs = 0

/**
 * Reads a clock that never goes back and also counts time in which the VM was suspended, in milliseconds.
 * The monotonic clock stands still then; the time of day does not. A forward step of the time of day counts as a suspension,
 * so this clock may run ahead: use it where too much elapsed time is harmless, such as the age of what is known.
 */
export function readElapsedMs (): number {
  const nowMs = performance.now()
  const wallNowMs = Date.now()
  const leadMs = (wallNowMs - wallMs) - (nowMs - monotonicMs)
  if (leadMs > SUSPEND_MS) suspendedMs += leadMs
  if (Math.abs(leadMs) > SUSPEND_MS || nowMs - monotonicMs > SUSPEND_MS) {
    monotonicMs = nowMs
    wallMs = wallNowMs
  }
  return nowMs + suspendedMs
}
