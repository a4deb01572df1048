import type { EndpointName, Incarnation, WeightsVersion } from './ids.ts'
import type { Liveness } from './liveness.ts'
import type { LoadReport } from './loadReport.ts'

/** Status of an endpoint as this VM knows it, without its spec. */
export interface EndpointView {
  endpoint: EndpointName
  /** Empty until the first report of the endpoint. */
  incarnation: Incarnation
  state: Liveness
  weightsVersion: WeightsVersion | null
  /** Latest load report; null if there is none. */
  load: LoadReport | null
  /** Age of the load report, in milliseconds. */
  loadAgeMs: number
}
