import type { DataCentreId, OrganisationName, PoolName } from 'knapweedshunt-types'

/** How often a request may run. */
export const REPEATABILITY = {
  /** Any number of times. */
  always: 'always',
  /** A stream may go on elsewhere after the last event delivered. */
  resumed: 'resumed',
  /** Once at most. */
  never: 'never'
} as const

/** One of {@link REPEATABILITY}. */
export type Repeatability = typeof REPEATABILITY[keyof typeof REPEATABILITY]

/** A pool's share of a route's requests. */
export interface PoolShare {
  pool: PoolName
  weight: number
}

/** Where matching requests go and how they may be treated. */
export interface GatewayRoute {
  name: string
  /** Lower case. */
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  shares: PoolShare[]
  repeatability: Repeatability
  isStream: boolean
  /** Longest time to a final answer, in milliseconds. */
  timeoutMs: number
  /** Time to the answer, or to a stream's first event, that is wished, in milliseconds. */
  objectiveMs: number
  /** Longest pause between events that is wished, in milliseconds; null where the route names none. */
  pauseObjectiveMs: number | null
  /** 0 is served first. */
  priority: number
  /** Most endpoints that one request may be sent to. */
  maxEndpoints: number
  /** Needs no key. */
  isPublic: boolean
  /** Carries prompts whose parts endpoints cache. */
  usesPrefixes: boolean
}

/** A set of like endpoints. */
export interface GatewayPool {
  pool: PoolName
  /** Connections that an endpoint accepts from all callers together. */
  maxConnections: number
  /** Models that its endpoints run; empty for plain services. */
  models: string[]
  /** Path at which an endpoint says whether it is well. */
  healthPath: string
}

/** A store of kept KV cache. */
export interface KeptStore {
  address: string
  dataCentre: DataCentreId
}

/** An organisation with its keys. */
export interface GatewayOrganisation {
  organisation: OrganisationName
  keys: string[]
  priority: number | null
  isIsolated: boolean
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  headerMs: number
  /** Longest silence of a connection, in milliseconds. */
  idleMs: number
}

/** The operator's whole configuration at one revision. */
export interface GatewayConfig {
  revision: number
  routes: GatewayRoute[]
  pools: GatewayPool[]
  keptStores: KeptStore[]
  /** Null where no keys are used. */
  organisations: GatewayOrganisation[] | null
  limits: CallerLimits
}
