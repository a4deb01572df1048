import type { EndpointView } from './endpointView.ts'
import type { EndpointName } from './ids.ts'
import type { ResourceSnapshot } from './resourceSnapshot.ts'
import type { VmView } from './vmView.ts'

/** What control hands to its local router. */
export interface RouterSnapshot {
  resources: ResourceSnapshot
  vms: VmView[]
  endpoints: EndpointView[]
  /** Endpoints of other data centres that get nothing new: held for down or draining there, or in a data centre that is not reached. */
  avoided?: EndpointName[]
}
