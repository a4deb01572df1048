/** Timing of failure detection, all in milliseconds. */
export interface MembershipOptions {
  /** Silence after which a VM is suspect. */
  suspectAfterMs: number
  /** Silence after which a suspect VM is dead. */
  deadAfterMs: number
}

/** Bounds for data centres about a millisecond apart. */
export const DEFAULT_MEMBERSHIP_OPTIONS: MembershipOptions = { suspectAfterMs: 3_000, deadAfterMs: 10_000 }
