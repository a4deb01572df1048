import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { ADDRESS_SETTINGS, readAddress } from '../addressSettings.ts'
import { drainEndpoint } from '../drainEndpoint.ts'

/** `drain NAME [--undo=true]`: takes an endpoint out of service without cutting a request, or puts it back. */
export const drainCommand = createCommand({
  name: 'drain',
  description: 'Give an endpoint no new work, or take that back with --undo=true',
  settings: {
    ...ADDRESS_SETTINGS,
    name: { schema: z.string().min(1), describe: 'an endpoint\'s name', positional: true },
    undo: { schema: z.enum(['true', 'false']).transform(text => text === 'true'), describe: 'true to put the endpoint back', fallback: 'false' }
  },
  async run (values) {
    const revision = await drainEndpoint(readAddress(values), values.name, !values.undo)
    console.log(`${values.undo ? 'Put back' : 'Draining'} as revision ${revision}.`)
  }
})
