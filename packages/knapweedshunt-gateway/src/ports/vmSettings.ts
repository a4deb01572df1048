import type { DataCentreId, VmId } from 'knapweedshunt-types'

/** IP number and port to listen on. */
export interface ListenAddress {
  host: string
  port: number
}

/** What a VM is told by its deployment; all times in milliseconds. */
export interface VmSettings {
  vm: VmId
  dataCentre: DataCentreId
  /** Data centres of the same region, this one among them. */
  nearDataCentres: DataCentreId[]
  callers: ListenAddress
  readiness: ListenAddress
  metrics: ListenAddress | null
  /** Time between a key's removal and the last request that may use it. */
  revokeMs: number
  /** Time in which an orderly stop must be over. */
  graceMs: number
  /** Repeats allowed beside the share, over all VMs, within the window. */
  retrySlack: number
  /** Repeats allowed as a share of requests. */
  retryShare: number
  retryWindowMs: number
  /** Least time between the orders of two holders. */
  leaseMs: number
  /** Time from the naming of new weights after which no request may begin on older ones. */
  weightsMs: number
}
