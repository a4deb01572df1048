import type { CrashingPartDetector, SuspectRegistry } from 'knapweedshunt-attempts'
import type { Logger } from 'knapweedshunt-logger'
import type { Placement } from 'knapweedshunt-placement'
import type { DataCentreId, Incarnation, VmId } from 'knapweedshunt-types'
import type { AdmissionController } from './admissionController.ts'
import type { EndpointLimiter } from './endpointLimiter.ts'
import type { SoftwareVersions } from './softwareVersions.ts'

/** Options and collaborators of the exchange with other routers. */
export interface PeerExchangeOptions {
  vm: VmId
  incarnation: Incarnation
  dataCentre: DataCentreId
  peerKey: string
  placement: Placement
  admission: AdmissionController
  registry: SuspectRegistry
  partDetector: CrashingPartDetector
  endpointLimiter: EndpointLimiter
  softwareVersions: SoftwareVersions
  log: Logger
}
