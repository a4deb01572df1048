import { createCommand } from 'knapweedshunt-settings'
import { createIncarnation } from 'knapweedshunt-utils'
import { z } from 'zod'
import { ADDRESS_SETTINGS, buildAdminAddress } from '../addressSettings.ts'
import { callAdmin } from '../adminClient.ts'

/** `delete KIND NAME`: deletes a resource to which no other resource refers. */
export const deleteCommand = createCommand({
  name: 'delete',
  description: 'Delete a resource to which no other resource refers',
  settings: {
    ...ADDRESS_SETTINGS,
    kind: { schema: z.string().min(1), describe: 'a resource kind', positional: true },
    name: { schema: z.string().min(1), describe: 'a resource name', positional: true }
  },
  async run (values) {
    const ops = [{ type: 'delete', kind: values.kind, name: values.name }]
    const answer = await callAdmin(buildAdminAddress(values), 'POST', '/v1/changes', { changeId: createIncarnation(), expectedRevision: null, ops })
    console.log(`Deleted as revision ${(answer as { revision: number }).revision}.`)
  }
})
