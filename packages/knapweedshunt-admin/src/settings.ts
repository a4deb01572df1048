import type { SettingTable } from 'knapweedshunt-settings'
import { z } from 'zod'
import { operatorKeysSchema } from './operatorKey.ts'

const url = z.url({ protocol: /^http$/ })
const MIN_KEY_CHARS = 16

/** Settings of `knapweedshunt-admin`. */
export const ADMIN_SETTINGS = {
  adminHost: { schema: z.ipv4(), describe: 'the IPv4 number operators connect to', fallback: '127.0.0.1' },
  adminPort: { schema: z.coerce.number().int().min(0).max(65_535), describe: 'a port from 0 to 65535 for operators', fallback: '8083' },
  platformUrl: { schema: url, describe: 'the platform\'s base URL' },
  controlUrl: { schema: url, describe: 'the base URL of the local control' },
  routerUrl: { schema: url, describe: 'the base URL of the local router\'s peer port' },
  peerKey: { schema: z.string().min(MIN_KEY_CHARS), describe: `a shared key of at least ${MIN_KEY_CHARS} characters`, secret: true },
  operatorKeys: { schema: operatorKeysSchema, describe: 'entries SHA256:ROLE parted by commas; ROLE is viewer, editor or organisation=NAME', secret: true }
} as const satisfies SettingTable
