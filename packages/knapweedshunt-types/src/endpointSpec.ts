import type { DataCentreId, PoolName } from './ids.ts'

/** One model engine or plain service. */
export interface EndpointSpec {
  pool: PoolName
  /** Base URL with an IP number, for example `http://10.0.0.7:8000`. */
  url: string
  dataCentre: DataCentreId
  /** Relative capacity, > 0. */
  weight: number
  /** Cached blocks the engine can hold; 0 for plain services. */
  cacheBlocks: number
  /** The endpoint refuses management orders with an old fencing number. */
  checksFencing: boolean
  /** The endpoint runs a call at most once per `Idempotency-Key`. */
  checksIdempotencyKeys: boolean
  /** The operator asked that the endpoint be drained. */
  draining: boolean
}
