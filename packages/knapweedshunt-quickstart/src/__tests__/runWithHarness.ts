import { startRouterHarness } from './startRouterHarness.ts'
import type { RouterHarness, RouterHarnessOptions } from './startRouterHarness.ts'

/** Runs a test with routers and engines, which end with it. */
export async function runWithHarness (options: RouterHarnessOptions, run: (harness: RouterHarness) => Promise<void>): Promise<void> {
  const harness = await startRouterHarness(options)
  try {
    await run(harness)
  } finally {
    await harness.stop()
  }
}
