import { readFile, writeFile } from 'node:fs/promises'
import { renderReport } from './renderReport.ts'
import { LoadError } from './loadError.ts'
import type { LoadReport } from './loadReport.ts'

/** Writes the report to `PATH.json` and renders it to `PATH.html`. */
export async function writeReport (path: string, report: LoadReport): Promise<void> {
  await writeFile(`${path}.json`, JSON.stringify(report, null, 2) + '\n')
  await writeFile(`${path}.html`, renderReport(report))
}

/** Reads a JSON report. Throws LoadError, which names the file, when it cannot be read or parsed or has no totals. */
export async function readReport (path: string): Promise<LoadReport> {
  try {
    const report = JSON.parse(await readFile(path, 'utf8')) as LoadReport
    if (typeof report.totals?.calls === 'number') return report
  } catch (cause) {
    throw new LoadError(`Cannot read or parse the report ${path}: pass the JSON file of an earlier run.`, { cause })
  }
  throw new LoadError(`The file ${path} is not a load report (no totals): pass the JSON file of an earlier run.`)
}
