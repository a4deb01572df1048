import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { ADDRESS_SETTINGS, buildAdminAddress } from '../addressSettings.ts'
import { drainEndpoint } from '../drainEndpoint.ts'

/** `drain NAME [--undo=true]`: takes an endpoint out of service without interrupting requests in flight, or returns it to service. */
export const drainCommand = createCommand({
  name: 'drain',
  description: 'Stop sending new requests to an endpoint, or resume with --undo=true',
  settings: {
    ...ADDRESS_SETTINGS,
    name: { schema: z.string().min(1), describe: 'an endpoint\'s name', positional: true },
    undo: { schema: z.enum(['true', 'false']).transform(text => text === 'true'), describe: 'true to return the endpoint to service', fallback: 'false' }
  },
  async run (values) {
    const revision = await drainEndpoint(buildAdminAddress(values), values.name, !values.undo)
    console.log(`${values.undo ? 'Put back' : 'Draining'} as revision ${revision}.`)
  }
})
