import { COINCIDENCE_MS } from './recentLosses.ts'
import type { RecentLosses } from './recentLosses.ts'
import type { Crash } from './suspectEntry.ts'

/** When crashes under a request may have another cause, and how it is tried again then; times in milliseconds. */
export interface DoubtOptions {
  /** Number of crashes that no others coincide with, from which on there is no doubt. */
  minSolitary: number
  /** Times after the last crash for which the request is refused, one for each attempt that may be lost before there is no doubt. */
  holdsMs: readonly number[]
  /** Further time, which differs from VM to VM. */
  holdSpreadMs: number
  /** Time after an attempt was sent for which no other one is. */
  probeMs: number
}

/** Whether the crashes probably have another cause than the request: most came together with the loss of other endpoints, which did not run it. */
export function hasOtherCause (crashes: readonly Crash[], losses: RecentLosses, { minSolitary }: DoubtOptions): boolean {
  const endpoints = new Set(crashes.map(({ endpoint }) => endpoint))
  return crashes.filter(({ crashedAtMs }) => !losses.isCommon(crashedAtMs, endpoints)).length < minSolitary
}

/** Whether all losses that coincide with the crashes are known. */
export function hasAllLosses (crashes: readonly Crash[]): boolean {
  return performance.now() > Math.max(...crashes.map(({ crashedAtMs }) => crashedAtMs)) + 2 * COINCIDENCE_MS
}
