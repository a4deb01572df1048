import type { CrashReport } from './crashReport.ts'
import { MAX_PUBLISHED } from './partEvidence.ts'
import type { PartEvidence } from './partEvidence.ts'
import type { PartQuarantine } from './partQuarantine.ts'

/** Encodes what a VM tells the others about prompt parts, within the limits of a row. */
export function encodePartEvidence (ownReports: readonly CrashReport[], quarantines: readonly PartQuarantine[], ownClearings: PartEvidence['clearings']): PartEvidence {
  const nowMs = performance.now()
  const reports = ownReports.slice(-MAX_PUBLISHED.reports)
  const latestQuarantines = [...quarantines].sort((a, b) => b.untilMs - a.untilMs).slice(0, MAX_PUBLISHED.quarantines)
  const clearings = ownClearings.slice(-MAX_PUBLISHED.clearings)
  return {
    reports: reports.map(({ id, endpoint, startedAtMs, crashedAtMs, suspectParts }) => ({ id, endpoint, startedAgeMs: nowMs - startedAtMs, crashedAgeMs: nowMs - crashedAtMs, lostShares: Object.fromEntries([...suspectParts].slice(0, MAX_PUBLISHED.parts)) })),
    quarantines: latestQuarantines.map(({ id, parts, crashCount, lostShare, firstCrashAtMs, untilMs }) => ({ id, parts: [...parts], crashCount, lostShare, firstCrashAgeMs: nowMs - firstCrashAtMs, forMs: untilMs - nowMs })),
    clearings: clearings.map(({ part, ids }) => ({ part, ids: ids.slice(-MAX_PUBLISHED.ids) }))
  }
}
