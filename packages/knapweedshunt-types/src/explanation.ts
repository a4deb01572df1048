import type { DataCentreId, EndpointName, OrganisationName, PoolName, WeightsVersion } from './ids.ts'
import type { Liveness } from './liveness.ts'
import type { PoolObjective } from './endpointPoolSpec.ts'

/** What an operator asks: where would this request go? */
export interface ExplainRequest {
  organisation: OrganisationName
  model: string
  prompt: string
  /** Character offsets at which nested levels end, ascending. */
  marks: number[]
}

/** One prefix level of an explained request. */
export interface ExplainedLevel {
  /** First characters of the level's key. */
  key: string
  /** Estimated tokens up to the end of the level. */
  tokens: number
}

/** One endpoint of the pool, as the router sees it now. */
export interface ExplainedEndpoint {
  /** Place in the ranking, 1 first; null when it gets no new work of this router. */
  rank: number | null
  endpoint: EndpointName
  dataCentre: DataCentreId
  state: Liveness
  draining: boolean
  weightsVersion: WeightsVersion | null
  running: number
  queuedTokens: number
}

/** Why a request would go where. */
export interface Explanation {
  route: string
  pool: PoolName
  objective: PoolObjective
  repeatable: boolean
  priorityClass: string
  levels: ExplainedLevel[]
  /** Ranked endpoints first. */
  endpoints: ExplainedEndpoint[]
}
