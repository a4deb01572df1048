import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { ADDRESS_SETTINGS, readAddress } from '../addressSettings.ts'
import { applyResources } from '../applyResources.ts'
import { readResourceFiles } from '../readResourceFiles.ts'

/** `apply -f FILE`: applies the resources of files as one change. */
export const applyCommand = createCommand({
  name: 'apply',
  description: 'Apply the resources of one or more files as one change',
  settings: {
    ...ADDRESS_SETTINGS,
    file: { schema: z.string().min(1), describe: 'YAML or JSON files parted by commas', alias: 'f' },
    expectedRevision: { schema: z.union([z.literal('').transform(() => null), z.coerce.number().int().nonnegative()]), describe: 'the newest revision you know; the change is refused when there is a newer one', fallback: '' }
  },
  async run (values) {
    const resources = await readResourceFiles(values.file.split(','))
    const revision = await applyResources(readAddress(values), resources, values.expectedRevision)
    console.log(`Accepted ${resources.length} resources as revision ${revision}.`)
  }
})
