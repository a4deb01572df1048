import { build } from 'hdr-histogram-js'
import { groupBy } from 'knapweedshunt-utils'
import type { LoadOutcome, LoadRecord } from './loadRecord.ts'
import type { LoadBucket, LoadGroup, LoadReport, LoadSummary, RefusalCount } from './loadReport.ts'
import type { PlanOptions } from './planCalls.ts'

const BUCKET_EDGES_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000, 60_000]

type AnsweredOutcome = Extract<LoadOutcome, { type: 'answered' }>

/** Aggregates the records of a run into totals, per-group summaries and refusal counts. */
export function buildReport (options: PlanOptions, records: LoadRecord[]): LoadReport {
  return {
    preset: options.preset.name,
    seed: options.seed,
    requestsPerSecond: options.requestsPerSecond,
    durationMs: options.durationMs,
    totals: summarizeRecords(records),
    groups: summarizeGroups(records),
    refusals: countRefusals(records)
  }
}

function summarizeGroups (records: LoadRecord[]): LoadGroup[] {
  const groups = groupBy(records, record => `${record.organisation} ${record.job}`)
  return [...groups.keys()].sort().map(key => {
    const members = groups.get(key)!
    const { organisation, job } = members[0]
    return { organisation, job, ...summarizeRecords(members), buckets: countBuckets(filterAnswered(members)) }
  })
}

function summarizeRecords (records: LoadRecord[]): LoadSummary {
  const answered = filterAnswered(records)
  const firstTokenHistogram = build()
  for (const outcome of answered) firstTokenHistogram.recordValue(Math.round(outcome.firstTokenMs))
  const promptTokens = sum(answered.map(outcome => outcome.promptTokens))
  return {
    calls: records.length,
    ...countOutcomes(records),
    hitRate: sum(answered.map(outcome => outcome.cachedTokens)) / Math.max(1, promptTokens),
    wastedTokens: sum(answered.map(outcome => Math.max(0, outcome.reusableTokens - outcome.cachedTokens))),
    promptTokens,
    firstTokenP50Ms: firstTokenHistogram.getValueAtPercentile(50),
    firstTokenP95Ms: firstTokenHistogram.getValueAtPercentile(95),
    firstTokenP99Ms: firstTokenHistogram.getValueAtPercentile(99)
  }
}

function countOutcomes (records: LoadRecord[]): Record<LoadOutcome['type'], number> {
  const counts = { answered: 0, ordered: 0, refused: 0, cut: 0, unreached: 0 }
  for (const { outcome } of records) counts[outcome.type]++
  return counts
}

function countBuckets (answered: AnsweredOutcome[]): LoadBucket[] {
  return BUCKET_EDGES_MS.map((untilMs, i) => {
    const fromMs = BUCKET_EDGES_MS[i - 1] ?? 0
    const calls = answered.filter(outcome => outcome.firstTokenMs >= fromMs && outcome.firstTokenMs < untilMs).length
    return { untilMs, calls }
  })
}

function countRefusals (records: LoadRecord[]): RefusalCount[] {
  const codes = records.flatMap(({ outcome }) => outcome.type === 'refused' ? [outcome.code] : [])
  return [...groupBy(codes, code => code)].map(([code, calls]) => ({ code, calls: calls.length }))
}

function filterAnswered (records: LoadRecord[]): AnsweredOutcome[] {
  return records.flatMap(({ outcome }) => outcome.type === 'answered' ? [outcome] : [])
}

function sum (values: number[]): number {
  return values.reduce((total, value) => total + value, 0)
}
