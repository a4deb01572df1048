/** Timing of failure detection among VMs and data centres, all in milliseconds. */
export interface MembershipOptions {
  /** Time without a heartbeat after which a VM is suspect. */
  suspectAfterMs: number
  /** Time without a heartbeat after which a suspect VM is dead, provided that another VM confirms the suspicion. */
  deadAfterMs: number
  /** Time without a heartbeat after which a suspect VM is dead when no other live VM is left to confirm the suspicion. */
  unconfirmedDeadAfterMs: number
  /** Pause of this process after which the silence timers of all peers restart: their heartbeats were missed because this VM did not run. */
  pauseThresholdMs: number
  /** Time without a heartbeat after which the entry of a dead VM is removed. */
  deadRetentionMs: number
  /** Time after the start during which a later incarnation of the same VM name is taken for a former process of this VM, not for a successor. */
  joinPeriodMs: number
  /** Time without a new summary after which another data centre counts as unreachable. */
  unreachableAfterMs: number
}

/** Defaults for VMs that exchange heartbeats twice a second. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = {
  suspectAfterMs: 4_000,
  deadAfterMs: 10_000,
  unconfirmedDeadAfterMs: 30_000,
  pauseThresholdMs: 3_000,
  deadRetentionMs: 3_600_000,
  joinPeriodMs: 10_000,
  unreachableAfterMs: 8_000
}
