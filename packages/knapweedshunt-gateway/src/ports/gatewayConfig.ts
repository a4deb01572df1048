import type { DataCentreId, OrganisationName, PoolName } from 'knapweedshunt-types'

/** How often a request may run. */
export const REPEATABILITY = {
  /** Any number of times. */
  always: 'always',
  /** A stream may resume at another endpoint after the last delivered event. */
  resumed: 'resumed',
  /** At most once. */
  never: 'never'
} as const

/** One of {@link REPEATABILITY}. */
export type Repeatability = typeof REPEATABILITY[keyof typeof REPEATABILITY]

/** A pool's weight in the traffic split of a route. */
export interface PoolShare {
  pool: PoolName
  weight: number
}

/** A route: the pools of matching requests and how these requests are handled. */
export interface GatewayRoute {
  name: string
  /** Lower case. */
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  shares: PoolShare[]
  repeatability: Repeatability
  isStream: boolean
  /** Maximum time to the final response, in milliseconds. */
  timeoutMs: number
  /** Target time to the response, or to a stream's first event, in milliseconds. */
  objectiveMs: number
  /** Target for the longest pause between events, in milliseconds; null when the route sets none. */
  pauseObjectiveMs: number | null
  /** 0 is served first. */
  priority: number
  /** Maximum number of endpoints that one request may be sent to. */
  maxEndpoints: number
  /** Whether requests need no access key. */
  isPublic: boolean
  /** Whether requests carry prompts whose parts endpoints cache. */
  usesPrefixes: boolean
}

/** A pool of interchangeable endpoints. */
export interface GatewayPool {
  pool: PoolName
  /** Maximum number of connections that an endpoint accepts from all callers together. */
  maxConnections: number
  /** Models that the endpoints serve; empty for plain services. */
  models: string[]
  /** Path of the endpoints' health check. */
  healthPath: string
  /** Tokens that the memory of one engine holds, of running requests and cached prefixes together; null for plain services and where it is not stated. */
  memoryTokens: number | null
}

/** A store of saved KV cache, shared by endpoints. */
export interface KvStore {
  address: string
  dataCentre: DataCentreId
}

/** What the limit of an organisation counts. */
export const USAGE_UNIT = { requests: 'requests', tokens: 'tokens' } as const

/** One of the units of {@link USAGE_UNIT}. */
export type UsageUnit = typeof USAGE_UNIT[keyof typeof USAGE_UNIT]

/** Limit of what the requests of one organisation may use, over all VMs together. */
export interface UsageLimit {
  unit: UsageUnit
  /** Units per second. */
  ratePerS: number
  /** Units that may be used at once beyond the rate. */
  burst: number
  /** Tokens that a request without a stated usage counts as; used with the unit `tokens` only. */
  plainTokens: number
}

/** An organisation with its access keys. */
export interface GatewayOrganisation {
  organisation: OrganisationName
  keys: string[]
  priority: number | null
  isIsolated: boolean
  /** Null for no limit. */
  usageLimit: UsageLimit | null
}

/** Size and time limits for callers' requests. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMs: number
  /** Idle timeout of a connection, in milliseconds. */
  idleTimeoutMs: number
}

/** The operator's complete configuration at one revision. */
export interface GatewayConfig {
  revision: number
  routes: GatewayRoute[]
  pools: GatewayPool[]
  kvStores: KvStore[]
  /** Null when no access keys are used. */
  organisations: GatewayOrganisation[] | null
  limits: CallerLimits
}
