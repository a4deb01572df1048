import type { SummaryDelta, SummaryVersions, VmDelta, VmVersions } from 'knapweedshunt-membership'
import type { DataCentreId, ResourceChange, Revision, RouterSnapshot, VmId } from 'knapweedshunt-types'

/** Who calls, and where its control listens. */
export interface Caller {
  vm: VmId
  dataCentre: DataCentreId
  url: string
}

/** `control.exchange`: asks a peer for what is new. */
export interface ExchangeRequest {
  from: Caller
  /** Revision the caller has. */
  revision: Revision
  /** What the caller has of the VMs of its data centre; only within one data centre. */
  known?: VmVersions
  /** What the peer lacks of the caller itself. */
  own?: VmDelta
  /** What the caller has of the data centres; left out when they are not asked for. */
  centres?: SummaryVersions
}

/** Answer to an {@link ExchangeRequest}. */
export interface ExchangeAnswer {
  revision: Revision
  deltas?: VmDelta[]
  /** VMs of which nothing but the version is new. */
  beats?: VmVersions
  /** Whether the peer knows the caller's VM; when it does not, the caller sends itself along next time. */
  knows?: boolean
  centres?: SummaryDelta[]
  /** Changes after the caller's revision; left out when there are none or they are no longer all kept. */
  changes?: ResourceChange[]
}

/** `control.push`: passes a new revision on at once. */
export interface PushRequest {
  from: Caller
  revision: Revision
  /** Changes up to the revision; null when the receiver must ask. */
  changes: ResourceChange[] | null
}

/** What the router answers to a snapshot. */
export interface RouterAck {
  appliedRevision: Revision
}

/** `control.status`: what the local admin asks. */
export interface ControlStatus extends RouterSnapshot {
  isReady: boolean
}

/** `control.changes`: what a watch asks. */
export interface ChangesRequest {
  after: Revision
}
