import type { QuarantineLift, QuarantineTarget } from 'knapweedshunt-attempts'

/** A quarantine, from the rows of the VMs. Wall-clock times in Unix milliseconds. */
export interface QuarantineView {
  type: QuarantineTarget['type']
  /** Fingerprint of the request, or the parts that a prompt must all have; lifting one of them ends the quarantine. */
  names: string[]
  sinceMs: number
  untilMs: number
  /** Number of crashes that it follows from, as far as they are known. */
  crashes: number
  /** Share of attempts without the part that were lost meanwhile; null for a request. */
  lostShare: number | null
  /** Endpoints that crashed, as far as the rows still name them. */
  endpoints: string[]
  /** VMs that hold it. */
  vms: string[]
  /** Lift of a later time; a VM that does not know lifts may still hold the quarantine. */
  lift: QuarantineLift | null
}
