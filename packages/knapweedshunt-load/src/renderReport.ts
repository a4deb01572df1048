import * as echarts from 'echarts'
import { groupBy } from 'knapweedshunt-utils'
import type { LoadGroup, LoadReport } from './loadReport.ts'

const WIDTH = 900
const HEIGHT = 320
const STYLE = 'body{font:14px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}'

/** Renders a report as a self-contained HTML page with inline SVG charts. */
export function renderReport (report: LoadReport): string {
  const { totals } = report
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Load report</title>',
    `<style>${STYLE}</style></head><body>`,
    `<h1>Load report: ${escapeHtml(report.preset)}</h1>`,
    `<p>Seed ${report.seed}, ${report.requestsPerSecond} requests/s for ${report.durationMs / 1_000} s.</p>`,
    renderTable(['calls', 'answered', 'ordered', 'refused', 'cut', 'unreached', 'hit rate', 'wasted tokens', 'p50 ms', 'p95 ms', 'p99 ms'], [[
      totals.calls, totals.answered, totals.ordered, totals.refused, totals.cut, totals.unreached,
      totals.hitRate.toFixed(3), totals.wastedTokens, totals.firstTokenP50Ms, totals.firstTokenP95Ms, totals.firstTokenP99Ms
    ]]),
    '<h2>Time to first token per job</h2>', renderFirstTokenChart(report),
    '<h2>Hit rate per organisation and job</h2>', renderBarChart(report, 'hit rate', group => group.hitRate),
    '<h2>Wasted tokens per organisation and job</h2>', renderBarChart(report, 'tokens', group => group.wastedTokens),
    '<h2>99th percentile of time to first token, ms</h2>', renderBarChart(report, 'ms', group => group.firstTokenP99Ms),
    '<h2>Refusals</h2>', renderTable(['code', 'calls'], report.refusals.map(refusal => [refusal.code, refusal.calls])),
    '</body></html>'
  ].join('\n')
}

function renderFirstTokenChart (report: LoadReport): string {
  const answeredGroups = report.groups.filter(group => group.answered > 0)
  const edges = answeredGroups[0]?.buckets.map(bucket => `< ${bucket.untilMs}`) ?? []
  const series = [...groupBy(answeredGroups, group => group.job)].map(([job, groups]) => ({
    name: job,
    type: 'bar' as const,
    data: edges.map((_, i) => groups.reduce((calls, group) => calls + group.buckets[i].calls, 0))
  }))
  return renderChart({ legend: {}, xAxis: { type: 'category', data: edges, name: 'ms' }, yAxis: { type: 'value', name: 'calls' }, series })
}

function renderBarChart (report: LoadReport, unit: string, getValue: (group: LoadGroup) => number): string {
  const answeredGroups = report.groups.filter(group => group.answered > 0)
  const organisations = [...new Set(answeredGroups.map(group => group.organisation))]
  const series = [...groupBy(answeredGroups, group => group.job)].map(([job, groups]) => ({
    name: job,
    type: 'bar' as const,
    data: organisations.map(organisation => getValue(groups.find(group => group.organisation === organisation) ?? groups[0]))
  }))
  return renderChart({ legend: {}, xAxis: { type: 'category', data: organisations }, yAxis: { type: 'value', name: unit }, series })
}

function renderChart (option: echarts.EChartsCoreOption): string {
  const chart = echarts.init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT })
  chart.setOption({ animation: false, ...option })
  const svg = chart.renderToSVGString()
  chart.dispose()
  return svg
}

function renderTable (headings: string[], rows: Array<Array<string | number>>): string {
  const cells = rows.map(row => `<tr>${row.map(cell => `<td>${escapeHtml(String(cell))}</td>`).join('')}</tr>`)
  return `<table><tr>${headings.map(cell => `<th>${escapeHtml(cell)}</th>`).join('')}</tr>${cells.join('')}</table>`
}

function escapeHtml (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')
}
