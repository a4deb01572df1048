import { readFileSync } from 'node:fs'
import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { CliError } from '../cliError.ts'
import { buildRequestTimeline } from '../buildRequestTimeline.ts'

/** File descriptor of the standard input, passed to readFileSync in place of a path. */
const STDIN_FD = 0

/** `story ID`: prints the timeline of one request from router logs. */
export const storyCommand = createCommand({
  name: 'story',
  description: 'Print the timeline of one request from router logs',
  settings: {
    id: { describe: 'request id', schema: z.string().min(1), positional: true },
    file: { describe: 'log file, empty for the standard input', schema: z.string(), fallback: '' }
  },
  async run ({ id, file }) {
    const text = readFileSync(file === '' ? STDIN_FD : file, 'utf8')
    const timeline = buildRequestTimeline(text, id)
    if (timeline.length === 0) throw new CliError(`No log line has the request id ${id}: give the log of the VM that the caller reached.`)
    console.log(timeline.join('\n'))
  }
})
