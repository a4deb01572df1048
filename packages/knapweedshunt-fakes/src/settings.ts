import type { SettingTable } from 'knapweedshunt-settings'
import { z } from 'zod'

/** Settings of `knapweedshunt-fakes`. */
export const FAKES_SETTINGS = {
  role: { schema: z.enum(['platform', 'engine', 'service']), describe: 'which fake to start: platform, engine or service' },
  host: { schema: z.ipv4(), describe: 'an IPv4 number to listen on', fallback: '127.0.0.1' },
  port: { schema: z.coerce.number().int().min(0).max(65_535), describe: 'a port from 0 to 65535, 0 for a free one', fallback: '0' },
  endpoint: { schema: z.string().min(1), describe: 'the endpoint\'s name', fallback: 'endpoint' },
  weightsVersion: { schema: z.string().min(1), describe: 'version of the weights that an engine starts with', fallback: 'w1' }
} as const satisfies SettingTable
