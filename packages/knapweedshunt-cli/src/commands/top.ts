import { createCommand } from 'knapweedshunt-settings'
import { ADDRESS_SETTINGS, buildAdminAddress } from '../addressSettings.ts'
import { callAdmin } from '../adminClient.ts'

/** `top`: shows the current metrics of the router to which admin is connected. */
export const topCommand = createCommand({
  name: 'top',
  description: 'Show the current metrics of a router per organisation and priority class',
  settings: ADDRESS_SETTINGS,
  async run (values) {
    const answer = await callAdmin(buildAdminAddress(values), 'GET', '/v1/figures') as { rows: object[] }
    console.table(answer.rows)
  }
})
