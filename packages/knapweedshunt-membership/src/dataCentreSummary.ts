import type { DataCentreId, EndpointName, Revision, VmId, VmView } from 'knapweedshunt-types'

/** What one data centre tells the others of itself. */
export interface DataCentreSummary {
  dataCentre: DataCentreId
  /** Grows with every summary; a summary that repeats the last one is a heartbeat. */
  seq: number
  /** Greatest revision that every live or suspect VM of the roster applies. */
  floor: Revision
  /** Some VMs at the floor while others are ahead. */
  lagging: VmId[]
  /** Endpoints that are suspect or dead. */
  down: EndpointName[]
  /** VMs with judged states; `appliedRevision` is not kept up, see `floor`. */
  roster: VmView[]
}

/** What is new of a data centre; parts that the receiver has are left out. Field names are short since they travel often. */
export interface SummaryDelta {
  /** Data centre. */
  d: DataCentreId
  /** Sequence number. */
  q: number
  /** Hashes of roster and state. */
  h: string
  state?: Pick<DataCentreSummary, 'floor' | 'lagging' | 'down'>
  roster?: VmView[]
}

/** What a VM has of each data centre: `seq.rosterHash.stateHash`, the number in base 36. */
export type SummaryVersions = Record<DataCentreId, string>
