/** Timing of failure detection, all in milliseconds. */
export interface MembershipOptions {
  /** Silence after which a VM is suspect. */
  suspectAfterMs: number
  /** Silence after which a suspect VM is dead, once another VM confirms the suspicion. */
  deadAfterMs: number
  /** Silence after which a suspect VM is dead when no other VM is left to confirm. */
  aloneDeadAfterMs: number
  /** Own pause after which peers get a new grace period, since their silence was this VM's own. */
  pauseGapMs: number
  /** Time for which the entry of a dead VM is kept. */
  retainMs: number
  /** Time after the start in which a greater order of the own name is taken as a former process. */
  joiningMs: number
  /** Silence after which another data centre counts as not reached. */
  notReachedAfterMs: number
}

/** Bounds for VMs that exchange twice a second. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  suspectAfterMs: 4_000,
  deadAfterMs: 10_000,
  aloneDeadAfterMs: 30_000,
  pauseGapMs: 3_000,
  retainMs: 3_600_000,
  joiningMs: 10_000,
  notReachedAfterMs: 8_000
}
