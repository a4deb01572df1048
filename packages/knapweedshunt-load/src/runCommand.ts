import { createCommand } from 'knapweedshunt-settings'
import { buildReport } from './buildReport.ts'
import { LOAD_PRESETS } from './loadPresets.ts'
import type { LoadRecord } from './loadRecord.ts'
import { writeReport } from './reportFile.ts'
import { runLoad } from './runLoad.ts'
import { LOAD_SETTINGS } from './settings.ts'

const PROGRESS_INTERVAL_MS = 1_000
const MS_PER_SECOND = 1_000
const ORDER_TIMEOUT_MS = 60_000

/** `knapweedshunt-load run`: sends a preset's traffic to routers, prints the totals and writes a report. */
export const runCommand = createCommand({
  name: 'run',
  description: 'Send a deployment\'s traffic mix to routers and write a report',
  settings: LOAD_SETTINGS,
  async run (values, signal) {
    const plan = { preset: LOAD_PRESETS[values.preset], requestsPerSecond: values.rate, durationMs: values.seconds * MS_PER_SECOND, seed: values.seed }
    const finishedCalls: LoadRecord[] = []
    const timer = setInterval(() => printProgress(finishedCalls), PROGRESS_INTERVAL_MS)
    const records = await runLoad({ ...plan, routerUrls: values.routerUrls, orderTimeoutMs: ORDER_TIMEOUT_MS, onRecord: record => finishedCalls.push(record) }, signal)
    clearInterval(timer)
    const report = buildReport(plan, records)
    console.table([report.totals])
    if (report.refusals.length > 0) console.table(report.refusals)
    if (values.report !== '') await writeReport(values.report, report)
  }
})

function printProgress (finishedCalls: LoadRecord[]): void {
  const failedCount = finishedCalls.filter(({ outcome }) => outcome.type !== 'answered' && outcome.type !== 'ordered').length
  process.stderr.write(`${finishedCalls.length} calls finished, ${failedCount} not served\n`)
}
