/** How this VM uses an endpoint at present. */
export interface EndpointUse {
  /** Requests of this VM under way. */
  inFlightCount: number
  /** Requests that the endpoint runs at a time, for all VMs. */
  slots: number
  /** VMs that may send it requests, including this one. */
  vmCount: number
}
