import { computeReportedEndPeriod } from './endPeriod.ts'
import type { PartEvidence } from './partEvidence.ts'
import type { QuarantinedCrash } from './partQuarantine.ts'

/** Converts a crash of another VM's quarantine, written at a monotonic time, to monotonic times. */
export function parseQuarantinedCrash ({ id, endpoint, startedAgeMs }: PartEvidence['quarantines'][number]['crashes'][number], writtenAtMs: number): QuarantinedCrash {
  const startedAtMs = writtenAtMs - startedAgeMs
  return { id, endpoint, startedAtMs, endPeriod: computeReportedEndPeriod(startedAtMs) }
}
