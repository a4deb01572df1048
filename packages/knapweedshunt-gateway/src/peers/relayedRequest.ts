import type { EndpointName, VmId } from 'knapweedshunt-types'

/** What a VM tells another one about a request that it asks that VM to serve. */
export interface RelayedRequest {
  from: VmId
  /** Revision of the configuration by which the first VM accepted the request. */
  configRevision: number
  /** Number of endpoints to which the request may still be sent. */
  endpointsLeft: number
  /** Endpoints that the first VM tried; they are avoided. */
  triedEndpoints: EndpointName[]
  /** Software version at which a stream must go on; null for any. */
  softwareVersion: string | null
}
