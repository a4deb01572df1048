import type { ListenOptions } from 'knapweedshunt-utils'
import type { OperatorKey } from './operatorKey.ts'

/** Options of {@link startAdmin}. */
export interface AdminOptions {
  listen: ListenOptions
  platformUrl: string
  /** Base URL of the local control. */
  controlUrl: string
  /** Base URL of the local router's peer port. */
  routerUrl: string
  /** Shared key with which the system's own processes authenticate to each other. */
  peerKey: string
  operatorKeys: OperatorKey[]
}
