import type { SettingTable } from 'knapweedshunt-settings'
import { z } from 'zod'
import { DEFAULT_CONTROL_OPTIONS } from './controlOptions.ts'

const port = z.coerce.number().int().min(0).max(65_535)
const interval = z.coerce.number().int().min(10)
const url = z.url({ protocol: /^http$/ })
const urls = z.string().transform(text => text === '' ? [] : text.split(',')).pipe(z.array(url))
const MIN_KEY_CHARS = 16

/** Settings of `knapweedshunt-control`. */
export const CONTROL_SETTINGS = {
  vm: { schema: z.string().min(1), describe: 'this VM\'s name as the platform lists it' },
  dataCentre: { schema: z.string().min(1), describe: 'this VM\'s data centre' },
  controlHost: { schema: z.ipv4(), describe: 'the IPv4 number peers connect to', fallback: '127.0.0.1' },
  controlPort: { schema: port, describe: 'a port from 0 to 65535 for peers', fallback: '8082' },
  routerUrl: { schema: url, describe: 'the base URL of the local router\'s peer port' },
  platformUrl: { schema: url, describe: 'the platform\'s base URL' },
  peerKey: { schema: z.string().min(MIN_KEY_CHARS), describe: `a shared key of at least ${MIN_KEY_CHARS} characters`, secret: true },
  platformIntervalMs: { schema: interval, describe: 'milliseconds between looks at the platform', fallback: String(DEFAULT_CONTROL_OPTIONS.platformIntervalMs) },
  exchangeIntervalMs: { schema: interval, describe: 'milliseconds between exchanges with peers', fallback: String(DEFAULT_CONTROL_OPTIONS.exchangeIntervalMs) },
  loadIntervalMs: { schema: interval, describe: 'milliseconds between load reports', fallback: String(DEFAULT_CONTROL_OPTIONS.loadIntervalMs) },
  routerIntervalMs: { schema: interval, describe: 'milliseconds between views to the router', fallback: String(DEFAULT_CONTROL_OPTIONS.routerIntervalMs) },
  peerUrls: { schema: urls, describe: 'control URLs of some peers parted by commas, to start from while the platform does not answer', fallback: '' }
} as const satisfies SettingTable
