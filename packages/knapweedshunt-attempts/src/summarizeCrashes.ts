import type { EndpointName } from 'knapweedshunt-types'
import type { CrashReport } from './crashReport.ts'

/** What several crashes have in common. */
export interface CrashSummary {
  /** Number of crashes of which each began after the one before it had ended. Endpoints that fail together count once. */
  sequentialCount: number
  firstCrashAtMs: number
  /** Incarnations of the endpoints. */
  endpoints: Set<EndpointName>
  /** Mean share of recent attempts without the part that the reporting VMs had lost. */
  lostShare: number
  /** Suspect parts that were there in every crash. */
  commonParts: Set<string>
}

/** Minimum time between two crashes that count as two, in milliseconds: an engine takes longer to begin an answer, but attempts that move on between failing endpoints are lost faster. */
const MIN_DISTANCE_MS = 20

/** Summarises the reports in which a part is suspect; at least one. */
export function summarizeCrashes (part: string, reports: readonly CrashReport[]): CrashSummary {
  const sorted = [...reports].sort((a, b) => a.crashedAtMs - b.crashedAtMs)
  let sequentialCount = 0
  let lastCrashAtMs = -Infinity
  for (const { startedAtMs, crashedAtMs } of sorted) {
    if (startedAtMs < lastCrashAtMs || crashedAtMs < lastCrashAtMs + MIN_DISTANCE_MS) continue
    sequentialCount++
    lastCrashAtMs = crashedAtMs
  }
  const lostShare = reports.reduce((sum, report) => sum + (report.suspectParts.get(part) ?? 0), 0) / reports.length
  return { sequentialCount, firstCrashAtMs: sorted[0].crashedAtMs, endpoints: new Set(reports.map(report => report.endpoint)), lostShare, commonParts: findCommonParts(sorted) }
}

/** Attempts that ended with the same endpoint are one crash, so their parts count together. */
function findCommonParts (reports: readonly CrashReport[]): Set<string> {
  const partsOf = new Map<string, Set<string>>()
  for (const { endpoint, suspectParts } of reports) partsOf.set(endpoint, new Set([...partsOf.get(endpoint) ?? [], ...suspectParts.keys()]))
  const [first, ...others] = partsOf.values()
  return new Set([...first].filter(part => others.every(parts => parts.has(part))))
}
