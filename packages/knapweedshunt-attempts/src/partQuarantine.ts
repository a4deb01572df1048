import type { HeldCrash } from './heldCrash.ts'

/** A crash that a quarantine follows from. */
export interface QuarantinedCrash extends HeldCrash {
  /** Id of its report. */
  id: string
  startedAtMs: number
}

/** Refusal of requests whose prompt holds all of these parts. Monotonic times, in milliseconds. */
export interface PartQuarantine {
  /** Unique among all VMs. */
  id: string
  /** Several if the crashes do not tell which of them is the cause. */
  parts: Set<string>
  /** Number of crashes, one after the other, that it follows from. */
  crashCount: number
  /** Those of the crashes that are known here; none in the quarantines of earlier builds. */
  crashes: QuarantinedCrash[]
  /** Share of attempts without the part that were lost meanwhile. */
  lostShare: number
  /** Time of the first of the crashes. */
  firstCrashAtMs: number
  untilMs: number
}
