import type { DataCentreId, EndpointName, OrganisationName, PoolName, WeightsVersion } from './ids.ts'
import type { Liveness } from './liveness.ts'
import type { PoolObjective } from './endpointPoolSpec.ts'

/** Operator's query: to which endpoints would this request be sent? */
export interface ExplainRequest {
  organisation: OrganisationName
  model: string
  prompt: string
  /** Character offsets at which the nested prefix levels end, ascending. */
  marks: number[]
}

/** Prefix level of an explained request. */
export interface ExplainedLevel {
  /** First characters of the level's key, shortened for display. */
  key: string
  /** Estimated tokens from the prompt's start to the end of the level. */
  tokens: number
}

/** Endpoint of the pool with the status that the router has now. */
export interface ExplainedEndpoint {
  /** Position in the ranking, 1 is the best; null if this router sends the endpoint no new requests. */
  rank: number | null
  endpoint: EndpointName
  dataCentre: DataCentreId
  state: Liveness
  draining: boolean
  weightsVersion: WeightsVersion | null
  running: number
  queuedTokens: number
}

/** Route, pool and endpoint ranking that a request would get. */
export interface Explanation {
  route: string
  pool: PoolName
  objective: PoolObjective
  /** Whether the request may run more than once; see `RouteSpec`. */
  repeatable: boolean
  priorityClass: string
  levels: ExplainedLevel[]
  /** Ranked endpoints first, then those without a rank. */
  endpoints: ExplainedEndpoint[]
}
