import type { DataCentreId, Incarnation, Revision, VmId } from './ids.ts'
import type { Liveness } from './liveness.ts'

/** What this VM knows of an entry VM. */
export interface VmView {
  vm: VmId
  incarnation: Incarnation
  dataCentre: DataCentreId
  /** Base URL of the control program, with an IP number. */
  controlUrl: string
  /** Base URL of the router's peer port, with an IP number. */
  routerUrl: string
  state: Liveness
  /** Revision the VM applies. */
  appliedRevision: Revision
  /** Orders the incarnations of one VM name: the greatest is the present one. */
  order?: number
}
