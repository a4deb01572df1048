import type { EndpointView } from './endpointView.ts'
import type { EndpointName, Revision } from './ids.ts'
import type { VmView } from './vmView.ts'

/** State that control sends to a router that already has the resources (`router.views`). */
export interface RouterViews {
  /** Revision of the resources that the router must have; with another one it answers with its own revision and receives a full snapshot. */
  revision: Revision
  vms: VmView[]
  endpoints: EndpointView[]
  /** As in `RouterSnapshot`. */
  avoided?: EndpointName[]
}
