import type { EndpointName, Incarnation, PoolName } from 'knapweedshunt-types'

/** An endpoint that a VM does not reach, as it asks other VMs about it. */
export interface LostEndpoint {
  pool: PoolName
  endpoint: EndpointName
  incarnation: Incarnation
  /** Time since the VM lost it, in milliseconds. */
  lostMs: number
}
