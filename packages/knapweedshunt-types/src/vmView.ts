import type { DataCentreId, Incarnation, Revision, VmId } from './ids.ts'
import type { Liveness } from './liveness.ts'

/** Status of an entry VM as this VM knows it from gossip. */
export interface VmView {
  vm: VmId
  incarnation: Incarnation
  dataCentre: DataCentreId
  /** Base URL of the control process, with an IP address. */
  controlUrl: string
  /** Base URL of the router's peer port, with an IP address. */
  routerUrl: string
  state: Liveness
  /** Revision of the resources that the VM applies. */
  appliedRevision: Revision
  /** Position among the incarnations of one VM name; the greatest is the current one. Absent counts as 0. */
  order?: number
}
