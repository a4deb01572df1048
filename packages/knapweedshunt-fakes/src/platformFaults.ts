/** Faults that the fake platform injects; all may be changed at any time. */
export interface PlatformFaults {
  /** Every call fails without taking effect. */
  down: boolean
  /** Calls get no answer and have no effect. */
  silent: boolean
  /** Number of next transactions that get no answer and have no effect, as on a connection that went silent. */
  unansweredWrites: number
  /** Delay before each call takes effect, in milliseconds. */
  delayMs: number
  /** Number of next transactions that take effect but whose answer is lost. */
  loseAnswers: number
  /** Number of next transactions that fail at once and take effect `lateMs` later. */
  applyLate: number
  lateMs: number
  /** Rate limit of transactions and object writes, which wait one after the other; 0 for no limit. */
  writesPerS: number
}

/** All faults disabled. */
export const DEFAULT_PLATFORM_FAULTS: PlatformFaults = { down: false, silent: false, unansweredWrites: 0, delayMs: 0, loseAnswers: 0, applyLate: 0, lateMs: 0, writesPerS: 0 }
