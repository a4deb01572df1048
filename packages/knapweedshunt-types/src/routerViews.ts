import type { EndpointView } from './endpointView.ts'
import type { EndpointName, Revision } from './ids.ts'
import type { VmView } from './vmView.ts'

/** What control hands to a router that already has the resources: `router.views`. */
export interface RouterViews {
  /** Revision that the router must have; with another it answers its own and gets a whole snapshot. */
  revision: Revision
  vms: VmView[]
  endpoints: EndpointView[]
  /** As in a snapshot. */
  avoided?: EndpointName[]
}
