import { createHash } from 'node:crypto'
import { createCommand } from 'knapweedshunt-settings'
import { z } from 'zod'

/** `hash-key KEY`: prints the hash that an AccessKey resource or the operator keys setting contains instead of the key. */
export const hashKeyCommand = createCommand({
  name: 'hash-key',
  description: 'Print the SHA-256 of an access key or operator key',
  settings: { key: { schema: z.string().min(1), describe: 'the key', positional: true, secret: true } },
  async run (values) {
    console.log(createHash('sha256').update(values.key).digest('hex'))
  }
})
