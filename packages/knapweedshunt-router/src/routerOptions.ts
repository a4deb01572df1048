import { DEFAULT_GUARD_OPTIONS } from 'knapweedshunt-platform'
import type { ListenOptions } from 'knapweedshunt-utils'

/** Options of the router. */
export interface RouterOptions {
  vm: string
  dataCentre: string
  /** Data centres so near that their endpoints hold one cache with this one's. */
  nearDataCentres: string[]
  /** Prompt tokens per second that an engine of weight 1 computes; waits and shares are reckoned by it. */
  prefillTokensPerS: number
  /** Where callers connect. */
  caller: ListenOptions
  /** Where the local control and peer routers connect. */
  peer: ListenOptions
  platformUrl: string
  /** Shared key of the system's own processes. */
  peerKey: string
  /** Longest request body, in bytes. */
  maxBodyBytes: number
  /** Most requests in flight per endpoint. */
  endpointWindow: number
  /** Longest silence before the first token of a request that may be repeated, in milliseconds. */
  firstTokenTimeoutMs: number
  /** Longest silence between tokens of such a request, in milliseconds. */
  tokenTimeoutMs: number
  /** Longest time in which a caller's request must arrive whole, in milliseconds. */
  requestTimeoutMs: number
  /** Time in which a stopping router still answers on open connections before it closes idle ones, in milliseconds. */
  drainGraceMs: number
  /** Most reads and writes of the tables by this process per second; all VMs together stay below what the tables take. */
  tableReadsPerS: number
  tableWritesPerS: number
  /** StatsD address; empty for none. */
  statsdHost: string
  statsdPort: number
}

/** Options for loopback. */
export const DEFAULT_ROUTER_OPTIONS: RouterOptions = {
  vm: 'vm-1',
  dataCentre: 'dc-1',
  nearDataCentres: [],
  prefillTokensPerS: 8_000,
  caller: { host: '127.0.0.1', port: 0 },
  peer: { host: '127.0.0.1', port: 0 },
  platformUrl: 'http://127.0.0.1:7000',
  peerKey: '',
  maxBodyBytes: 4 * 1024 * 1024,
  endpointWindow: 32,
  firstTokenTimeoutMs: 10_000,
  tokenTimeoutMs: 5_000,
  requestTimeoutMs: 30_000,
  drainGraceMs: 500,
  tableReadsPerS: DEFAULT_GUARD_OPTIONS.reads.ratePerS,
  tableWritesPerS: DEFAULT_GUARD_OPTIONS.writes.ratePerS,
  statsdHost: '',
  statsdPort: 8125
}
