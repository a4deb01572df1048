import type { DataCentreId, VmId } from './ids.ts'

/** One VM in the platform's lagging list. */
export interface VmListEntry {
  vm: VmId
  dataCentre: DataCentreId
  controlUrl: string
  routerUrl: string
  state: 'live' | 'leaving'
}
