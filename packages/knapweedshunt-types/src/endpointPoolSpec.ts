import type { WeightsVersion } from './ids.ts'

/** Main objective of placement in a pool: `tail` favours low tail latency, `reuse` favours prefix cache hits. */
export type PoolObjective = 'tail' | 'reuse'

/** Spec of a pool of interchangeable endpoints, discriminated by `type`. */
export type EndpointPoolSpec = ModelPoolSpec | ServicePoolSpec

/** Pool of model engines that serve one model at one weights version. */
export interface ModelPoolSpec {
  type: 'model'
  model: string
  adapter?: string
  /** Version of the weights in force; a roll-out moves the endpoints one by one to a newer one. */
  weightsVersion: WeightsVersion
  objective: PoolObjective
  /** Minimum number of endpoints that must stay in service. */
  floor: number
  /** Maximum number of endpoints that load weights at the same time. */
  maxParallelLoads: number
}

/** Pool of plain HTTP services, which have neither weights nor a prefix cache. */
export interface ServicePoolSpec {
  type: 'service'
  /** Minimum number of endpoints that must stay in service. */
  floor: number
}
