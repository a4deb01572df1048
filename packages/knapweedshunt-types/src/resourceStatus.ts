import type { DataCentreId, Revision, VmId } from './ids.ts'
import type { ResourceKind } from './resource.ts'

/** Progress of one data centre in applying a revision. */
export interface DataCentreStatus {
  dataCentre: DataCentreId
  liveVms: number
  /** Number of live VMs that apply the revision or a later one. */
  appliedVms: number
  /** False if the data centre has no live VM in the gossip. */
  reached: boolean
  /** Live VMs that do not apply the revision yet. */
  waitingFor: VmId[]
  /** VMs that are suspect, or that the platform lists as live but gossip does not know as live or suspect: whether they apply the revision is unknown. */
  notHeard?: VmId[]
}

/** Condition of a resource with its reason. `unknown` means that some evidence could not be read. */
export interface StatusCondition {
  type: 'Accepted' | 'InForce' | 'Progress'
  status: 'true' | 'false' | 'unknown'
  reason: string
  message: string
}

/** Status of a resource as shown to operators beside its spec. */
export interface ResourceStatus {
  kind: ResourceKind
  name: string
  revision: Revision
  conditions: StatusCondition[]
  dataCentres: DataCentreStatus[]
}
