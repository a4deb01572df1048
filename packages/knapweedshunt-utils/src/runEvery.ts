import { sleep } from './sleep.ts'

/** Runs the step, waits, and again until the signal aborts. The step must not throw. */
export async function runEvery (intervalMs: number, signal: AbortSignal, step: () => Promise<void> | void): Promise<void> {
  while (!signal.aborted) {
    await step()
    await sleep(intervalMs, signal)
  }
}
