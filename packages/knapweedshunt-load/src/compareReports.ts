import type { LoadReport, LoadRow } from './loadReport.ts'

/** One figure of two reports. */
export interface ComparedFigure {
  figure: string
  before: number
  after: number
  /** After divided by before; null when before is 0. */
  ratio: number | null
}

const FIGURES = ['calls', 'answered', 'ordered', 'refused', 'cut', 'unreached', 'hitRate', 'wastedTokens', 'firstTokenP50Ms', 'firstTokenP95Ms', 'firstTokenP99Ms'] as const satisfies Array<keyof LoadRow>

/** Compares the totals of two reports. */
export function compareReports (before: LoadReport, after: LoadReport): ComparedFigure[] {
  return FIGURES.map(figure => {
    const old = before.totals[figure]
    const present = after.totals[figure]
    return { figure, before: old, after: present, ratio: old === 0 ? null : present / old }
  })
}
