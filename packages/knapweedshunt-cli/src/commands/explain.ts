import { createCommand } from 'knapweedshunt-settings'
import type { Explanation } from 'knapweedshunt-types'
import { z } from 'zod'
import { ADDRESS_SETTINGS, buildAdminAddress } from '../addressSettings.ts'
import { callAdmin } from '../adminClient.ts'

const MARKS_SCHEMA = z.string().transform(text => text === '' ? [] : text.split(',').map(Number)).pipe(z.array(z.number().int().positive()))

/** `explain ORGANISATION MODEL --prompt TEXT`: shows where a request would be routed and why. */
export const explainCommand = createCommand({
  name: 'explain',
  description: 'Show where a completion would be routed now, and why, without sending it',
  settings: {
    ...ADDRESS_SETTINGS,
    organisation: { schema: z.string().min(1), describe: 'an organisation\'s name', positional: true },
    model: { schema: z.string().min(1), describe: 'a model name with a route', positional: true },
    prompt: { schema: z.string().min(1), describe: 'the prompt\'s text' },
    marks: { schema: MARKS_SCHEMA, describe: 'comma-separated character offsets at which the levels of the prompt end', fallback: '' }
  },
  async run (values) {
    const { organisation, model, prompt } = values
    const explanation = await callAdmin(buildAdminAddress(values), 'POST', '/v1/explain', { organisation, model, prompt, marks: values.marks }) as Explanation
    const { route, pool, objective, repeatable, priorityClass } = explanation
    console.log(`Route ${route} to pool ${pool}: objective ${objective}, class ${priorityClass}, ${repeatable ? 'repeatable' : 'runs at most once'}.`)
    console.table(explanation.levels)
    console.table(explanation.endpoints)
  }
})
