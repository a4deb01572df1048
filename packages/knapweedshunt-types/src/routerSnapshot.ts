import type { EndpointView } from './endpointView.ts'
import type { ResourceSnapshot } from './resourceSnapshot.ts'
import type { VmView } from './vmView.ts'

/** What control hands to its local router. */
export interface RouterSnapshot {
  resources: ResourceSnapshot
  vms: VmView[]
  endpoints: EndpointView[]
}
