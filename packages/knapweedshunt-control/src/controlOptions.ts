import type { ListenOptions } from 'knapweedshunt-utils'

/** Options of control. */
export interface ControlOptions {
  vm: string
  dataCentre: string
  /** Where peers, the local admin and the local router connect. */
  listen: ListenOptions
  /** Peer port of the local router. */
  routerUrl: string
  platformUrl: string
  /** Shared key of the system's own processes. */
  peerKey: string
  /** Time between two looks at the platform's head revision, in milliseconds. */
  platformIntervalMs: number
  /** Time between two exchanges with a peer, in milliseconds. */
  exchangeIntervalMs: number
  /** Time between two load reports of an endpoint, in milliseconds. */
  loadIntervalMs: number
  /** Time between two views to the router when nothing urgent happened, in milliseconds. */
  routerIntervalMs: number
  /** Control URLs of some peers, to start from while the platform does not answer. */
  peerUrls: string[]
}

/** Options for loopback. */
export const DEFAULT_CONTROL_OPTIONS: ControlOptions = {
  vm: 'vm-1',
  dataCentre: 'dc-1',
  listen: { host: '127.0.0.1', port: 0 },
  routerUrl: 'http://127.0.0.1:8081',
  platformUrl: 'http://127.0.0.1:7000',
  peerKey: '',
  platformIntervalMs: 1_000,
  exchangeIntervalMs: 500,
  loadIntervalMs: 1_000,
  routerIntervalMs: 1_000,
  peerUrls: []
}
