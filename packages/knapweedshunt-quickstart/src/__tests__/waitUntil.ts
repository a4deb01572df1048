import { sleep } from 'knapweedshunt-utils'

/** Time limit of a wait; generous, as no test asserts on elapsed time. */
export const WAIT_TIMEOUT_MS = 60_000

const POLL_INTERVAL_MS = 10

/** Polls until the condition is met; a check that throws counts as not met. Throws after `WAIT_TIMEOUT_MS`, so that the test fails rather than hangs. */
export async function waitUntil (isMet: () => boolean | Promise<boolean>): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS
  while (!await evaluateOnce(isMet)) {
    if (performance.now() > deadlineMs) throw new Error('The condition was not met within the time limit.')
    await sleep(POLL_INTERVAL_MS)
  }
}

async function evaluateOnce (isMet: () => boolean | Promise<boolean>): Promise<boolean> {
  try {
    return await isMet()
  } catch {
    return false
  }
}
