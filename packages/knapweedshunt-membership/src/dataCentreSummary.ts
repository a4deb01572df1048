import type { DataCentreId, EndpointName, Incarnation, Liveness, Revision, VmId, VmView } from 'knapweedshunt-types'

/** What one data centre tells the others of itself. */
export interface DataCentreSummary {
  dataCentre: DataCentreId
  /** Grows with every summary; a summary that repeats the last one is a heartbeat. */
  seq: number
  /** Greatest revision that every live or suspect VM of the roster applies. */
  floor: Revision
  /** Some VMs at the floor while others are ahead. */
  lagging: VmId[]
  /** Endpoints that are suspect, dead or draining. */
  down: EndpointName[]
  /** VMs with judged states; `appliedRevision` is not kept up, see `floor`. */
  roster: VmView[]
}

/** A VM of another data centre, as it travels. */
export interface RosterEntry {
  vm: VmId
  incarnation: Incarnation
  order?: number
  controlUrl: string
  routerUrl: string
  state: Liveness
}

/** What is new of a data centre. Field names are short since they travel often. */
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
  /** Only when asked for. */
  roster?: RosterEntry[]
}

/** What a VM has of the data centres. */
export interface SummaryVersions {
  /** Sequence number of each data centre. */
  seqs: Record<DataCentreId, number>
  /** Data centres whose roster is asked for, with the hash that is at hand. */
  rosters: Record<DataCentreId, string>
}
