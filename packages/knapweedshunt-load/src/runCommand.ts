import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { buildReport } from './buildReport.ts'
import { LOAD_PRESETS } from './loadPresets.ts'
import type { LoadPresetName } from './loadPresets.ts'
import type { LoadRecord } from './loadRecord.ts'
import { writeReport } from './reportFile.ts'
import { runLoad } from './runLoad.ts'

const PROGRESS_MS = 1_000
const MS_PER_SECOND = 1_000
const ORDER_TIMEOUT_MS = 60_000
const presetNames = Object.keys(LOAD_PRESETS) as [LoadPresetName, ...LoadPresetName[]]

/** `knapweedshunt-load run`: drives routers and writes a report. */
export const runCommand = createCommand({
  name: 'run',
  description: 'Drive routers with a deployment\'s mix and write a report',
  settings: {
    routerUrls: { schema: z.string().transform(text => text.split(',')).pipe(z.array(z.url({ protocol: /^http$/ })).min(1)), describe: 'routers\' base URLs parted by commas', fallback: 'http://127.0.0.1:8080' },
    preset: { schema: z.enum(presetNames), describe: `one of ${presetNames.join(', ')}`, fallback: 'lindqvist' },
    rate: { schema: z.coerce.number().positive(), describe: 'mean requests per second', fallback: '20' },
    seconds: { schema: z.coerce.number().positive(), describe: 'how long to send, in seconds', fallback: '10' },
    seed: { schema: z.coerce.number().int(), describe: 'a seed', fallback: '1' },
    report: { schema: z.string(), describe: 'path of the report without its ending, empty for none', fallback: '' }
  },
  async run (values, signal) {
    const plan = { preset: LOAD_PRESETS[values.preset], requestsPerSecond: values.rate, durationMs: values.seconds * MS_PER_SECOND, seed: values.seed }
    const done: LoadRecord[] = []
    const timer = setInterval(() => printProgress(done), PROGRESS_MS)
    const records = await runLoad({ ...plan, routerUrls: values.routerUrls, orderTimeoutMs: ORDER_TIMEOUT_MS, onRecord: record => done.push(record) }, signal)
    clearInterval(timer)
    const report = buildReport(plan, records)
    console.table([report.totals])
    if (report.refusals.length > 0) console.table(report.refusals)
    if (values.report !== '') await writeReport(values.report, report)
  }
})

function printProgress (done: LoadRecord[]): void {
  const failed = done.filter(({ outcome }) => outcome.type !== 'answered' && outcome.type !== 'ordered').length
  process.stderr.write(`${done.length} calls done, ${failed} not served\n`)
}
