/** Faults of the platform stand-in; all may be changed at any time. */
export interface PlatformFaults {
  /** No call is answered and none takes effect. */
  down: boolean
  /** Delay before each call takes effect, in milliseconds. */
  delayMs: number
  /** This many of the next transactions take effect without an answer. */
  loseAnswers: number
  /** This many of the next transactions fail at once and take effect `lateMs` later. */
  applyLate: number
  lateMs: number
  /** Transactions and puts taken per second, one after the other; 0 for no limit. */
  writesPerS: number
}

/** No faults. */
export const DEFAULT_PLATFORM_FAULTS: PlatformFaults = { down: false, delayMs: 0, loseAnswers: 0, applyLate: 0, lateMs: 0, writesPerS: 0 }
