import type { DataCentreId, EndpointName, Incarnation, Liveness, Revision, VmId, VmView } from 'knapweedshunt-types'

/** Summary of one data centre, sent to the others. */
export interface DataCentreSummary {
  dataCentre: DataCentreId
  /** Increases with every summary; a summary with otherwise unchanged content acts as a heartbeat. */
  seq: number
  /** Greatest revision that every live or suspect VM of the roster has applied. */
  floor: Revision
  /** VMs at the floor while others are ahead, a limited number of them. */
  lagging: VmId[]
  /** Endpoints that are suspect, dead or draining. */
  down: EndpointName[]
  /** VMs with the states that the sender determined; `appliedRevision` is not maintained, see `floor`. */
  roster: VmView[]
}

/** A VM of another data centre, as sent between data centres. */
export interface RosterEntry {
  vm: VmId
  incarnation: Incarnation
  order?: number
  controlUrl: string
  routerUrl: string
  state: Liveness
}

/** Changed summary of one data centre. Field names are short because every exchange carries them. */
export interface SummaryDelta {
  /** Data centre. */
  d: DataCentreId
  /** Sequence number. */
  q: number
  /** Hash of the roster. */
  h: string
  /** Floor. */
  f: Revision
  /** Lagging VMs, left out when there are none. */
  l?: VmId[]
  /** Endpoints that are suspect, dead or draining, left out when there are none. */
  x?: EndpointName[]
  /** Present only if requested, or if the receiver has no summary of the data centre. */
  roster?: RosterEntry[]
}

/** Digest of the data centre summaries that a VM has. */
export interface SummaryVersions {
  /** Sequence number of each data centre. */
  seqs: Record<DataCentreId, number>
  /** Data centres whose roster is requested, with the hash of the roster that the VM has; empty when it has none. */
  rosters: Record<DataCentreId, string>
}
