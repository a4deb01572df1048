import type { PartEvidence, SuspectMark } from 'knapweedshunt-attempts'
import type { WaveNotice } from 'knapweedshunt-fleet'
import type { Logger } from 'knapweedshunt-logger'
import type { Platform, Row } from 'knapweedshunt-platform'
import type { ReceivedMark } from './crashMarks.ts'
import type { PoolVersionsRow, ReceivedLimitReport, ReceivedPartEvidence, VmRow } from './rosterRows.ts'

/** Dependencies of the roster of VMs. */
export interface VmRosterDependencies {
  platform: Platform
  self: VmRow
  log: Logger
  /** Ends the writes of this VM's rows. */
  signal: AbortSignal
  onMark (received: ReceivedMark): void
  /** Called for a mark that is removed from this VM's row because the row is full. */
  onMarkEvicted (mark: SuspectMark): void
  /** Builds this VM's row about prompt parts. */
  buildPartEvidence (): PartEvidence
  onPartEvidence (received: ReceivedPartEvidence): void
  /** Called for the report of a VM, including this one's as the others read it. */
  onLimitReport (received: ReceivedLimitReport): void
  onPoolVersions (row: PoolVersionsRow): void
  /** Called when a row of this VM could not be written. */
  onUnwritten (key: string, reason: string): void
  /** Called for a row that cannot be read or applied; it is ignored. */
  onUnreadable (row: Row, reason: string): void
  onWaveNotice (notice: WaveNotice): void
}
