import type { CrashReport } from './crashReport.ts'
import { MAX_PUBLISHED } from './partEvidence.ts'
import type { PartEvidence } from './partEvidence.ts'
import type { PartQuarantine, QuarantinedCrash } from './partQuarantine.ts'

/** Encodes what a VM tells the others about prompt parts, within the limits of a row. */
export function encodePartEvidence (ownReports: readonly CrashReport[], quarantines: readonly PartQuarantine[], ownClearings: PartEvidence['clearings']): PartEvidence {
  const nowMs = performance.now()
  const reports = ownReports.slice(-MAX_PUBLISHED.reports)
  const latestQuarantines = [...quarantines].sort((a, b) => b.untilMs - a.untilMs).slice(0, MAX_PUBLISHED.quarantines)
  const clearings = ownClearings.slice(-MAX_PUBLISHED.clearings)
  return {
    reports: reports.map(({ id, endpoint, startedAtMs, crashedAtMs, suspectParts }) => ({ id, endpoint, startedAgeMs: nowMs - startedAtMs, crashedAgeMs: nowMs - crashedAtMs, lostShares: Object.fromEntries([...suspectParts].slice(0, MAX_PUBLISHED.parts)) })),
    quarantines: latestQuarantines.map(({ id, parts, crashCount, lostShare, crashes, firstCrashAtMs, untilMs }) => ({ id, parts: [...parts], crashCount, lostShare, crashes: encodeCrashes(crashes, nowMs), firstCrashAgeMs: nowMs - firstCrashAtMs, forMs: untilMs - nowMs })),
    clearings: clearings.map(({ part, ids }) => ({ part, ids: ids.slice(-MAX_PUBLISHED.ids) }))
  }
}

function encodeCrashes (crashes: readonly QuarantinedCrash[], nowMs: number): PartEvidence['quarantines'][number]['crashes'] {
  return crashes.slice(0, MAX_PUBLISHED.crashes).map(({ id, endpoint, startedAtMs }) => ({ id, endpoint, startedAgeMs: nowMs - startedAtMs }))
}
