import type { SettingTable } from 'knapweedshunt-settings'
import { z } from 'zod'
import { DEFAULT_ROUTER_OPTIONS } from './routerOptions.ts'

const port = z.coerce.number().int().min(0).max(65_535)
const milliseconds = z.coerce.number().int().positive()
const MIN_KEY_CHARS = 16

/** Settings of the `knapweedshunt-router` program: schema, description and default of each. */
export const ROUTER_SETTINGS = {
  vm: { schema: z.string().min(1), describe: 'this VM\'s name as the platform lists it' },
  dataCentre: { schema: z.string().min(1), describe: 'this VM\'s data centre' },
  nearDataCentres: { schema: z.string().transform(text => text.split(',').filter(name => name !== '')), describe: 'data centres about a millisecond away, parted by commas; their endpoints count as one cache with this one\'s', fallback: '' },
  prefillTokensPerS: { schema: z.coerce.number().positive(), describe: 'prompt tokens per second that an engine of weight 1 computes', fallback: String(DEFAULT_ROUTER_OPTIONS.prefillTokensPerS) },
  callerHost: { schema: z.ipv4(), describe: 'the IPv4 number callers connect to', fallback: '127.0.0.1' },
  callerPort: { schema: port, describe: 'a port from 0 to 65535 for callers', fallback: '8080' },
  peerHost: { schema: z.ipv4(), describe: 'the IPv4 number the system\'s own processes connect to', fallback: '127.0.0.1' },
  peerPort: { schema: port, describe: 'a port from 0 to 65535 for the system\'s own processes', fallback: '8081' },
  platformUrl: { schema: z.url({ protocol: /^http$/ }), describe: 'the platform\'s base URL' },
  peerKey: { schema: z.string().min(MIN_KEY_CHARS), describe: `a shared key of at least ${MIN_KEY_CHARS} characters`, secret: true },
  maxBodyBytes: { schema: z.coerce.number().int().positive(), describe: 'the longest request body in bytes', fallback: String(DEFAULT_ROUTER_OPTIONS.maxBodyBytes) },
  endpointWindow: { schema: z.coerce.number().int().positive(), describe: 'the most requests in flight per endpoint', fallback: String(DEFAULT_ROUTER_OPTIONS.endpointWindow) },
  firstTokenTimeoutMs: { schema: milliseconds, describe: 'the longest silence before the first token of a repeatable request, in milliseconds', fallback: String(DEFAULT_ROUTER_OPTIONS.firstTokenTimeoutMs) },
  tokenTimeoutMs: { schema: milliseconds, describe: 'the longest silence between tokens of a repeatable request, in milliseconds', fallback: String(DEFAULT_ROUTER_OPTIONS.tokenTimeoutMs) },
  requestTimeoutMs: { schema: milliseconds, describe: 'the time in which a request must arrive whole, in milliseconds', fallback: String(DEFAULT_ROUTER_OPTIONS.requestTimeoutMs) },
  drainGraceMs: { schema: z.coerce.number().int().min(0), describe: 'the time a stopping router answers on open connections, in milliseconds', fallback: String(DEFAULT_ROUTER_OPTIONS.drainGraceMs) },
  tableReadsPerS: { schema: z.coerce.number().positive(), describe: 'the most table reads of this process per second', fallback: String(DEFAULT_ROUTER_OPTIONS.tableReadsPerS) },
  tableWritesPerS: { schema: z.coerce.number().positive(), describe: 'the most table writes of this process per second', fallback: String(DEFAULT_ROUTER_OPTIONS.tableWritesPerS) },
  statsdHost: { schema: z.union([z.literal(''), z.ipv4()]), describe: 'the IPv4 number of a StatsD server, empty for none', fallback: '' },
  statsdPort: { schema: port, describe: 'the StatsD server\'s port', fallback: String(DEFAULT_ROUTER_OPTIONS.statsdPort) }
} as const satisfies SettingTable
