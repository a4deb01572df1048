import type { ListenOptions } from 'knapweedshunt-utils'
import type { OperatorKey } from './operatorKey.ts'

/** Options of admin. */
export interface AdminOptions {
  listen: ListenOptions
  platformUrl: string
  /** Base URL of the local control. */
  controlUrl: string
  /** Base URL of the local router's peer port. */
  routerUrl: string
  /** Shared key of the system's own processes. */
  peerKey: string
  operatorKeys: OperatorKey[]
}
