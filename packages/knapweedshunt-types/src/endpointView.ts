import type { EndpointName, Incarnation, WeightsVersion } from './ids.ts'
import type { Liveness } from './liveness.ts'
import type { LoadReport } from './loadReport.ts'

/** What this VM knows of an endpoint beside its spec. */
export interface EndpointView {
  endpoint: EndpointName
  /** Empty until the endpoint was first heard. */
  incarnation: Incarnation
  state: Liveness
  weightsVersion: WeightsVersion | null
  /** Last load report, if any. */
  load: LoadReport | null
  /** Age of the load report, in milliseconds. */
  loadAgeMs: number
}
