import type { AttemptId, DataCentreId, EndpointName, Incarnation, PoolName, PrefixLevel, RouterSnapshot } from 'knapweedshunt-types'

/** A request to be placed. */
export interface PlaceRequest {
  pool: PoolName
  /** Outermost level first; empty for plain services. */
  levels: PrefixLevel[]
  /** Endpoints already tried. */
  excluded: EndpointName[]
}

/** Where a request goes. */
export type PlaceDecision =
  | { type: 'placed', endpoint: EndpointName, incarnation: Incarnation, url: string, dataCentre: DataCentreId, rank: number }
  | { type: 'unplaceable', reason: 'no-endpoint' | 'all-excluded' }

/** What the placement must hear of. */
export type PlacementEvent =
  | { type: 'snapshot', snapshot: RouterSnapshot }
  | { type: 'started', attempt: AttemptId, endpoint: EndpointName, tokens: number }
  | { type: 'finished', attempt: AttemptId, cachedTokens: number | null }
