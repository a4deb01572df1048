import type { SummaryDelta, SummaryVersions, VmDelta, VmVersions } from 'knapweedshunt-membership'
import type { DataCentreId, ResourceChange, Revision, RouterSnapshot, VmId } from 'knapweedshunt-types'

/** Sender of a peer message, with the control URL at which it can be called back. */
export interface Caller {
  vm: VmId
  dataCentre: DataCentreId
  url: string
}

/** Params of `control.exchange`: requests the state that is newer than the caller's. */
export interface ExchangeRequest {
  from: Caller
  /** Revision that the caller holds. */
  revision: Revision
  /** Versions that the caller holds for the VMs of its data centre; sent only within a data centre. */
  known?: VmVersions
  /** State of the caller's own VM, sent until the peer knows it. */
  own?: VmDelta
  /** Versions that the caller holds of the data centre summaries; left out when no summaries are requested. */
  centres?: SummaryVersions
}

/** Answer to an {@link ExchangeRequest}. */
export interface ExchangeAnswer {
  revision: Revision
  deltas?: VmDelta[]
  /** Versions of the VMs whose version alone has changed. */
  beats?: VmVersions
  /** Whether the peer knows the caller's VM; if not, the caller includes its own state in the next exchange. */
  knows?: boolean
  centres?: SummaryDelta[]
  /** Changes after the caller's revision; left out when there are none, or when some of them are no longer retained. */
  changes?: ResourceChange[]
}

/** Params of `control.push`: propagates a new revision at once, without waiting for the next exchange. */
export interface PushRequest {
  from: Caller
  revision: Revision
  /** Changes up to the revision; null when the receiver must request them by an exchange. */
  changes: ResourceChange[] | null
}

/** Answer of the router to `router.snapshot` and `router.views`. */
export interface RouterAck {
  appliedRevision: Revision
}

/** Answer to `control.status`, which the local admin calls. */
export interface ControlStatus extends RouterSnapshot {
  isReady: boolean
}

/** Params of `control.changes`, which serves watches. */
export interface ChangesRequest {
  after: Revision
}
