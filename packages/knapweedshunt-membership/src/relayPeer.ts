import type { DataCentreId, VmId } from 'knapweedshunt-types'

/** Another VM that may serve requests of this one. */
export interface RelayPeer {
  vm: VmId
  dataCentre: DataCentreId
}
