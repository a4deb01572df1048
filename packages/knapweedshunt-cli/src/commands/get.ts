import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { stringify } from 'yaml'
import { ADDRESS_SETTINGS, buildAdminAddress, buildSelection, SELECTION_SETTINGS } from '../addressSettings.ts'
import { CliError } from '../cliError.ts'
import { listResources } from '../listResources.ts'
import { summariseItem } from '../summariseItem.ts'

/** `get [KIND] [NAME]`: lists resources with their status. */
export const getCommand = createCommand({
  name: 'get',
  description: 'List resources and whether they are in force',
  settings: {
    ...ADDRESS_SETTINGS,
    ...SELECTION_SETTINGS,
    output: { schema: z.enum(['table', 'yaml', 'json']), describe: 'table, yaml or json', fallback: 'table', alias: 'o' }
  },
  async run (values) {
    const { kind, name } = buildSelection(values)
    const items = await listResources(buildAdminAddress(values), kind, name)
    if (items.length === 0 && name !== null) throw new CliError(`There is no ${kind} ${name}: run "get ${kind}" to list them.`)
    switch (values.output) {
      case 'table': return console.table(items.map(summariseItem))
      case 'yaml': return console.log(stringify(items))
      case 'json': return console.log(JSON.stringify(items, null, 2))
    }
  }
})
