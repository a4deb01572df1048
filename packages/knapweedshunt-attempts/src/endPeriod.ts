import { MAX_IN_FLIGHT_MS } from './endpointLifespans.ts'
import type { EndpointLifespans } from './endpointLifespans.ts'
import type { EndpointName } from 'knapweedshunt-types'

/** Period in which the process of an endpoint must have ended, if a lost attempt is to have ended with it. Monotonic times, in milliseconds. */
export interface EndPeriod {
  earliestAtMs: number
  latestAtMs: number
}

/** Error of ages that VMs state by their wall clocks, in milliseconds. */
const MAX_CLOCK_ERROR_MS = 2_000

/** Computes the period for an attempt that this VM loses now. */
export function computeOwnEndPeriod (startedAtMs: number, lostAtMs: number): EndPeriod {
  return { earliestAtMs: Math.max(startedAtMs, lostAtMs - MAX_IN_FLIGHT_MS), latestAtMs: lostAtMs }
}

/** Computes the period for an attempt that another VM has lost, by its report that is read now. */
export function computeReportedEndPeriod (startedAtMs: number): EndPeriod {
  return { earliestAtMs: startedAtMs - MAX_CLOCK_ERROR_MS, latestAtMs: performance.now() }
}

/** Whether the process is known to have lived through the period. */
export function hasSurvived (lifespans: EndpointLifespans, endpoint: EndpointName, { earliestAtMs, latestAtMs }: EndPeriod): boolean {
  return lifespans.hasLivedThrough(endpoint, earliestAtMs, latestAtMs)
}
