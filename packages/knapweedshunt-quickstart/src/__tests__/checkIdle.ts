import type { ExecutionContext } from 'ava'
import type { RouterHarness } from './startRouterHarness.ts'

/** Checks that the routers hold nothing of any request. */
export function checkIdle (t: ExecutionContext, harness: RouterHarness): void {
  for (const { dataPath } of harness.routers) {
    t.deepEqual(dataPath.admission.countRequests(), { running: 0, waiting: 0, attempts: 0 })
    t.is(dataPath.runningAttempts.size + dataPath.suspectGuard.isolator.inFlight + dataPath.suspectGuard.isolator.suspects + dataPath.placement.inFlight, 0)
  }
}
