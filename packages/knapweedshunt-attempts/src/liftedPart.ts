import type { PartQuarantine } from './partQuarantine.ts'

/** Quarantines and crash reports that a lift has ended. */
export interface LiftedPart {
  quarantines: PartQuarantine[]
  /** Number of crash reports that no longer count. */
  reportCount: number
}
