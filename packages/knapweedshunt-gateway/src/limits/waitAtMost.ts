import { startTimeout } from 'knapweedshunt-utils'

/** Waits for a promise that does not reject, but no longer than the time in milliseconds. */
export async function waitAtMost (promise: Promise<void>, timeMs: number): Promise<void> {
  let stopTimeout = () => {}
  await Promise.race([promise, new Promise<void>(resolve => { stopTimeout = startTimeout(timeMs, resolve) })])
  stopTimeout()
}
