import { createCommand } from 'knapweedshunt-settings'
import { ADDRESS_SETTINGS, readAddress } from '../addressSettings.ts'
import { callAdmin } from '../adminClient.ts'

/** `top`: shows the present figures of the router beside admin. */
export const topCommand = createCommand({
  name: 'top',
  description: 'Show a router\'s present figures per organisation and class',
  settings: ADDRESS_SETTINGS,
  async run (values) {
    const answer = await callAdmin(readAddress(values), 'GET', '/v1/figures') as { rows: object[] }
    console.table(answer.rows)
  }
})
