import type { DataCentreId, PoolName } from './ids.ts'

/** Spec of an endpoint: a model engine or a plain HTTP service. */
export interface EndpointSpec {
  pool: PoolName
  /** Base URL with an IP address, for example `http://10.0.0.7:8000`. */
  url: string
  dataCentre: DataCentreId
  /** Relative capacity, > 0. */
  weight: number
  /** Capacity of the prefix cache in blocks; 0 for plain services. */
  cacheBlocks: number
  /** Whether the endpoint refuses management commands with a stale fencing token. */
  checksFencing: boolean
  /** Whether the endpoint runs a call at most once per `Idempotency-Key`. */
  checksIdempotencyKeys: boolean
  /** Whether the operator has requested that the endpoint be drained. */
  draining: boolean
}
