import type { EndpointRole } from './endpointRole.ts'
import type { EndpointName, Incarnation, WeightsVersion } from './ids.ts'

/** What an endpoint reports of itself (GET /load). */
export interface LoadReport {
  endpoint: EndpointName
  incarnation: Incarnation
  /** Null for plain services and engines without weights. */
  weightsVersion: WeightsVersion | null
  /** Adapter in use; left out or empty without one. */
  adapter?: string
  /** Left out by endpoints that do not change role; they serve. */
  role?: EndpointRole
  running: number
  queued: number
  /** Prompt tokens waiting to be computed. */
  queuedTokens: number
  /** Endpoint's own clock, milliseconds; only for ordering reports of one incarnation. */
  atMs: number
}
