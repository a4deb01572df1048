/** Options of the detector of prompt parts that crash endpoints; times in milliseconds. */
export interface CrashingPartOptions {
  /** Minimum number of crashes, one after the other, for a quarantine. */
  minCrashes: number
  /** The same if there is doubt: this VM's requests were served with the part before, or the endpoints were seen alive later. */
  minDoubtfulCrashes: number
  /** Largest probability that as many attempts in a row would have been lost by chance, at the rate at which attempts without the part are lost. */
  maxChance: number
  /** Time for which a crash counts. */
  reportMs: number
  quarantineMs: number
  /** Share of attempts without the part that are lost, from which on the part is quarantined only for a short time. */
  minUncertainShare: number
  uncertainQuarantineMs: number
  /** Time over which a VM states its share of lost attempts with a report. */
  lostShareWindowMs: number
  maxReports: number
}

/** Quarantines a part for ten minutes after three crashes, if other requests are served meanwhile. */
export const DEFAULT_CRASHING_PART_OPTIONS: CrashingPartOptions = {
  minCrashes: 3,
  minDoubtfulCrashes: 6,
  maxChance: 0.005,
  reportMs: 60_000,
  quarantineMs: 600_000,
  minUncertainShare: 0.2,
  uncertainQuarantineMs: 30_000,
  lostShareWindowMs: 5_000,
  maxReports: 1_000
}
