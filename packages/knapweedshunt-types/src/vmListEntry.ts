import type { DataCentreId, VmId } from './ids.ts'

/** VM in the platform's VM list, which lags behind the actual VMs. */
export interface VmListEntry {
  vm: VmId
  dataCentre: DataCentreId
  controlUrl: string
  routerUrl: string
  state: 'live' | 'leaving'
}
