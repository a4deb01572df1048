import type { Logger } from 'knapweedshunt-logger'
import type { Platform, TableFeed } from 'knapweedshunt-platform'
import type { DirectoryPort } from './ports/directoryPort.ts'
import type { EndpointPort } from './ports/endpointPort.ts'
import type { ManagementPort } from './ports/managementPort.ts'
import type { VmSettings } from './ports/vmSettings.ts'

/** Dependencies of the gateway; the deployment provides the ports. */
export interface GatewayDependencies {
  settings: VmSettings
  platform: Platform
  feed: TableFeed
  directoryPort: DirectoryPort
  endpointPort: EndpointPort
  managementPort: ManagementPort
  log: Logger
}

/** Base URLs of the gateway's servers; `metrics` is null if that server is not configured. */
export interface GatewayAddresses {
  callers: string
  readiness: string
  metrics: string | null
}
