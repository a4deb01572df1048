import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { compareReports } from './compareReports.ts'
import { readReport } from './reportFile.ts'

/** `knapweedshunt-load compare`: prints the totals of two reports and their ratios. */
export const compareCommand = createCommand({
  name: 'compare',
  description: 'Compare the totals of two reports',
  settings: {
    before: { schema: z.string().min(1), describe: 'JSON report of the earlier run', positional: true },
    after: { schema: z.string().min(1), describe: 'JSON report of the later run', positional: true }
  },
  async run (values) {
    console.table(compareReports(await readReport(values.before), await readReport(values.after)))
  }
})
