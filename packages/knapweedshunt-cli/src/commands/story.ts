import { readFileSync } from 'node:fs'
import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { CliError } from '../cliError.ts'
import { tellStory } from '../tellStory.ts'

/** File descriptor of the standard input. */
const STANDARD_INPUT = 0

/** `story`: prints what routers' logs say of one request. */
export const storyCommand = createCommand({
  name: 'story',
  description: 'Print one request\'s story from routers\' logs',
  settings: {
    id: { describe: 'request id', schema: z.string().min(1), positional: true },
    file: { describe: 'file with the logs, empty for the standard input', schema: z.string(), fallback: '' }
  },
  async run ({ id, file }) {
    const text = readFileSync(file === '' ? STANDARD_INPUT : file, 'utf8')
    const story = tellStory(text, id)
    if (story.length === 0) throw new CliError(`No line of the log names the request ${id}: give the log of the VM that the caller reached.`)
    console.log(story.join('\n'))
  }
})
