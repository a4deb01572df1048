import type { LoadReport, LoadSummary } from './loadReport.ts'

/** One metric of two reports; `figure` is its name. */
export interface MetricComparison {
  figure: string
  before: number
  after: number
  /** `after` divided by `before`; null when `before` is 0. */
  ratio: number | null
}

const COMPARED_METRICS = ['calls', 'answered', 'ordered', 'refused', 'cut', 'unreached', 'hitRate', 'wastedTokens', 'firstTokenP50Ms', 'firstTokenP95Ms', 'firstTokenP99Ms'] as const satisfies Array<keyof LoadSummary>

/** Compares the totals of two reports, one row per metric. */
export function compareReports (before: LoadReport, after: LoadReport): MetricComparison[] {
  return COMPARED_METRICS.map(figure => {
    const beforeValue = before.totals[figure]
    const afterValue = after.totals[figure]
    return { figure, before: beforeValue, after: afterValue, ratio: beforeValue === 0 ? null : afterValue / beforeValue }
  })
}
