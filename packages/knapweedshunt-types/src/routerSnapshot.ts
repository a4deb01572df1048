import type { EndpointView } from './endpointView.ts'
import type { EndpointName } from './ids.ts'
import type { ResourceSnapshot } from './resourceSnapshot.ts'
import type { VmView } from './vmView.ts'

/** State that control sends to its local router in full (`router.snapshot`). */
export interface RouterSnapshot {
  resources: ResourceSnapshot
  vms: VmView[]
  endpoints: EndpointView[]
  /** Endpoints of other data centres that receive no new requests: reported there as down or draining, or in an unreachable data centre. */
  avoided?: EndpointName[]
}
