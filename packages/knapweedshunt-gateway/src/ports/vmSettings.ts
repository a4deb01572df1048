import type { DataCentreId, VmId } from 'knapweedshunt-types'

/** IP address and port to listen on. */
export interface ListenAddress {
  host: string
  port: number
}

/** Settings of a VM, given by its deployment; all times in milliseconds. */
export interface VmSettings {
  vm: VmId
  dataCentre: DataCentreId
  /** Data centres of the same region, including this one. */
  nearDataCentres: DataCentreId[]
  callers: ListenAddress
  readiness: ListenAddress
  metrics: ListenAddress | null
  /** Address for calls of other VMs; null if there is none. */
  peers: ListenAddress | null
  /** Memory that the process may take, in megabytes; null if it is not known. */
  memoryMb: number | null
  /** Descriptors that the process may have open; null if it is not known. */
  maxDescriptors: number | null
  /** Connections that callers may open; null to derive it from the memory and the descriptors. */
  maxCallerConnections: number | null
  /** Number of VMs of a region from which a few of them read the tables from the store for all; 0 for never. */
  minSharingVms: number
  /** Maximum time between the revocation of an access key and the last request accepted with it. */
  maxRevocationMs: number
  /** Time within which a graceful shutdown must finish. */
  drainGraceMs: number
  /** Retries allowed in addition to the ratio, over all VMs, within the window. */
  retryReserve: number
  /** Retries allowed, as a ratio of requests. */
  retryRatio: number
  retryWindowMs: number
  /** Minimum time between the commands of two lease holders. */
  leaseMs: number
  /** Length of the window for which the limits of organisations hold, in milliseconds; null if the deployment names none. */
  usageWindowMs: number | null
  /** Time after a new target version was set from which on no request may start on older weights. */
  maxStaleWeightsMs: number
}
