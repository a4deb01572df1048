import { sleep } from './sleep.ts'

/** Runs `step` repeatedly until the signal aborts, pausing `intervalMs` after each run. `step` must not throw: that would end the loop. */
export async function runEvery (intervalMs: number, signal: AbortSignal, step: () => Promise<void> | void): Promise<void> {
  while (!signal.aborted) {
    await step()
    await sleep(intervalMs, signal)
  }
}
