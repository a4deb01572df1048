import type { DataCentreId, Revision, VmId } from './ids.ts'
import type { ResourceKind } from './resource.ts'

/** How far one data centre is with a revision. */
export interface DataCentreStatus {
  dataCentre: DataCentreId
  liveVms: number
  /** Live VMs that apply at least the revision. */
  appliedVms: number
  /** False when no VM of the data centre was heard of lately. */
  reached: boolean
  /** Live VMs that do not apply the revision yet. */
  waitingFor: VmId[]
  /** VMs that are listed by the platform or were heard once, but not lately: whether they apply the revision is not known. */
  notHeard?: VmId[]
}

/** One condition of a resource. */
export interface StatusCondition {
  type: 'Accepted' | 'InForce' | 'Progress'
  status: 'true' | 'false' | 'unknown'
  reason: string
  message: string
}

/** What an operator sees of a resource beside its spec. */
export interface ResourceStatus {
  kind: ResourceKind
  name: string
  revision: Revision
  conditions: StatusCondition[]
  dataCentres: DataCentreStatus[]
}
