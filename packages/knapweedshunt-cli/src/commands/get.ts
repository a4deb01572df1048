import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { stringify } from 'yaml'
import { ADDRESS_SETTINGS, readAddress, readSelection, SELECTION_SETTINGS } from '../addressSettings.ts'
import { CliError } from '../cliError.ts'
import { listResources } from '../listResources.ts'
import { describeItem } from '../describeItem.ts'

/** `get [KIND] [NAME]`: lists resources. */
export const getCommand = createCommand({
  name: 'get',
  description: 'List resources and how far they are in force',
  settings: {
    ...ADDRESS_SETTINGS,
    ...SELECTION_SETTINGS,
    output: { schema: z.enum(['table', 'yaml', 'json']), describe: 'table, yaml or json', fallback: 'table', alias: 'o' }
  },
  async run (values) {
    const { kind, name } = readSelection(values)
    const items = await listResources(readAddress(values), kind, name)
    if (items.length === 0 && name !== null) throw new CliError(`There is no ${kind} ${name}: see "get ${kind}" for those there are.`)
    switch (values.output) {
      case 'table': return console.table(items.map(describeItem))
      case 'yaml': return console.log(stringify(items))
      case 'json': return console.log(JSON.stringify(items, null, 2))
    }
  }
})
