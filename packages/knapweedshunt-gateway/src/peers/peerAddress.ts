import type { DataCentreId, VmId } from 'knapweedshunt-types'

/** Where a VM serves the calls of the others. */
export interface PeerAddress {
  /** Base URL. */
  url: string
  /** Key that callers must send. */
  key: string
}

/** Another VM that serves calls. */
export interface PeerView {
  vm: VmId
  dataCentre: DataCentreId
  address: PeerAddress
  /** Whether it hands changes of the tables on to others. */
  servesTables?: boolean
}
