import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { ADDRESS_SETTINGS, buildAdminAddress, buildSelection, SELECTION_SETTINGS } from '../addressSettings.ts'
import { waitUntilInForce } from '../waitUntilInForce.ts'

const MS_PER_SECOND = 1_000

/** `wait --for=in-force [KIND] [NAME]`: waits until the selected resources are in force on every VM. */
export const waitCommand = createCommand({
  name: 'wait',
  description: 'Wait until resources are in force on every VM',
  settings: {
    ...ADDRESS_SETTINGS,
    ...SELECTION_SETTINGS,
    for: { schema: z.enum(['in-force']), describe: 'in-force', fallback: 'in-force' },
    timeout: { schema: z.coerce.number().positive(), describe: 'maximum wait in seconds', fallback: '30' }
  },
  async run (values) {
    const { kind, name } = buildSelection(values)
    await waitUntilInForce(buildAdminAddress(values), kind, name, values.timeout * MS_PER_SECOND)
    console.log('In force.')
  }
})
