import { DEFAULT_GUARDED_PLATFORM_OPTIONS } from 'knapweedshunt-platform'
import type { ListenOptions } from 'knapweedshunt-utils'

/** Options of the router process; the settings supply them in deployments. */
export interface RouterOptions {
  vm: string
  dataCentre: string
  /** Data centres so close that their endpoints and those of this data centre count as one prefix cache. */
  nearDataCentres: string[]
  /** Prompt tokens per second that an engine of weight 1 computes; used to estimate waiting times and load shares. */
  prefillTokensPerS: number
  /** Address on which callers connect. */
  caller: ListenOptions
  /** Address on which the local control and peer routers connect. */
  peer: ListenOptions
  platformUrl: string
  /** Shared key that authenticates the processes of the system to each other. */
  peerKey: string
  /** Largest request body, in bytes. */
  maxBodyBytes: number
  /** Most requests in flight per endpoint. */
  endpointWindow: number
  /** Timeout for the first token of a repeatable request, in milliseconds. */
  firstTokenTimeoutMs: number
  /** Timeout between two tokens of a repeatable request, in milliseconds. */
  tokenTimeoutMs: number
  /** Timeout for receiving a complete request from a caller, in milliseconds. */
  requestTimeoutMs: number
  /** Time during which a stopping router still serves open connections before it closes idle ones, in milliseconds. */
  drainGraceMs: number
  /** Rate limits of this process for table reads and writes, per second; set so that all VMs together stay below the capacity of the tables. */
  tableReadsPerS: number
  tableWritesPerS: number
  /** IPv4 address of the StatsD server; empty for none. */
  statsdHost: string
  statsdPort: number
}

/** Defaults for a single VM on the loopback interface; port 0 picks a free port. */
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
  tableReadsPerS: DEFAULT_GUARDED_PLATFORM_OPTIONS.reads.ratePerS,
  tableWritesPerS: DEFAULT_GUARDED_PLATFORM_OPTIONS.writes.ratePerS,
  statsdHost: '',
  statsdPort: 8125
}
