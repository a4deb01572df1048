import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'
import { ADDRESS_SETTINGS, buildAdminAddress } from '../addressSettings.ts'
import { applyResources } from '../applyResources.ts'
import { readResourceFiles } from '../readResourceFiles.ts'

/** `apply -f FILE,…`: applies the resources of one or more files as one change. */
export const applyCommand = createCommand({
  name: 'apply',
  description: 'Apply the resources of one or more files as one change',
  settings: {
    ...ADDRESS_SETTINGS,
    file: { schema: z.string().min(1), describe: 'comma-separated YAML or JSON files', alias: 'f' },
    expectedRevision: { schema: z.union([z.literal('').transform(() => null), z.coerce.number().int().nonnegative()]), describe: 'newest revision you have seen; the change is rejected if there is a newer one', fallback: '' }
  },
  async run (values) {
    const resources = await readResourceFiles(values.file.split(','))
    const revision = await applyResources(buildAdminAddress(values), resources, values.expectedRevision)
    console.log(`Accepted ${resources.length} resources as revision ${revision}.`)
  }
})
