import type { EndpointRole } from './endpointRole.ts'
import type { EndpointName, Incarnation, WeightsVersion } from './ids.ts'

/** Load report of an endpoint (answer to `GET /load`). */
export interface LoadReport {
  endpoint: EndpointName
  incarnation: Incarnation
  /** Null for plain services and engines without weights. */
  weightsVersion: WeightsVersion | null
  /** Adapter in use; absent or empty if there is none. */
  adapter?: string
  /** Version of the engine's software; absent if it states none. */
  softwareVersion?: string
  /** Absent for endpoints that have no roles; these always serve. */
  role?: EndpointRole
  running: number
  queued: number
  /** Prompt tokens of queued requests that are not computed yet. */
  queuedTokens: number
  /** Time on the endpoint's own clock, in milliseconds; only for ordering the reports of one incarnation. */
  atMs: number
}
