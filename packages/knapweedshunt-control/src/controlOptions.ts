import type { ListenOptions } from 'knapweedshunt-utils'

/** Options of {@link startControl}. */
export interface ControlOptions {
  vm: string
  dataCentre: string
  /** Address at which peers, the local admin and the local router connect. */
  listen: ListenOptions
  /** Base URL of the local router's peer port. */
  routerUrl: string
  platformUrl: string
  /** Key shared by the processes of the deployment, which authenticates their RPC calls. */
  peerKey: string
  /** Interval between polls of the platform's head revision. */
  platformIntervalMs: number
  /** Interval between ticks; in each tick the VM starts an exchange with a peer. */
  exchangeIntervalMs: number
  /** Interval between load polls of one endpoint. */
  loadIntervalMs: number
  /** Interval between periodic pushes to the router; urgent changes are pushed at once. */
  routerIntervalMs: number
  /** Control URLs of some peers, used to find the others while the platform does not answer. */
  peerUrls: string[]
}

/** Defaults for a deployment on the loopback interface. */
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
