import { readFile, writeFile } from 'node:fs/promises'
import { drawReport } from './drawReport.ts'
import { LoadError } from './loadError.ts'
import type { LoadReport } from './loadReport.ts'

/** Writes `PATH.json` and `PATH.html`. */
export async function writeReport (path: string, report: LoadReport): Promise<void> {
  await writeFile(`${path}.json`, JSON.stringify(report, null, 2) + '\n')
  await writeFile(`${path}.html`, drawReport(report))
}

/** Reads a JSON report. Throws LoadError that names the file. */
export async function readReport (path: string): Promise<LoadReport> {
  try {
    const report = JSON.parse(await readFile(path, 'utf8')) as LoadReport
    if (typeof report.totals?.calls === 'number') return report
  } catch (cause) {
    throw new LoadError(`The report ${path} cannot be read: give the JSON file of an earlier run.`, { cause })
  }
  throw new LoadError(`The file ${path} is no load report: give the JSON file of an earlier run.`)
}
