import { sleep } from 'knapweedshunt-utils'

/** Longest wait for a condition, in milliseconds; no test asserts on time taken. */
export const WAIT_MS = 60_000

const POLL_MS = 10

/** Waits until the condition holds; a check that throws does not hold, and one that never holds fails the test by name. */
export async function waitUntil (isMet: () => boolean | Promise<boolean>): Promise<void> {
  const endAtMs = performance.now() + WAIT_MS
  while (!await checkOnce(isMet)) {
    if (performance.now() > endAtMs) throw new Error('The condition did not come to hold.')
    await sleep(POLL_MS)
  }
}

async function checkOnce (isMet: () => boolean | Promise<boolean>): Promise<boolean> {
  try {
    return await isMet()
  } catch {
    return false
  }
}
