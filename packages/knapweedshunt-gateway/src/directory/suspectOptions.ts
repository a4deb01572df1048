import type { SuspectOptions } from 'knapweedshunt-attempts'

/** Options of the registry of suspect requests. A request that was in flight by chance is rarely involved in three crashes. */
export const SUSPECT_OPTIONS: SuspectOptions = { maxCrashes: 3, suspectMs: 60_000, quarantineMs: 600_000, maxEntries: 10_000, doubt: { minSolitary: 2, holdsMs: [3_000, 3_000, 30_000], holdSpreadMs: 1_500, probeMs: 2_000 } }
