import type { WeightsVersion } from './ids.ts'

/** What a pool weighs most when an endpoint is chosen. */
export type PoolObjective = 'tail' | 'reuse'

/** A set of like endpoints, discriminated by `type`. */
export type EndpointPoolSpec = ModelPoolSpec | ServicePoolSpec

/** Model engines that serve one model at one weights version. */
export interface ModelPoolSpec {
  type: 'model'
  model: string
  adapter?: string
  /** Weights in force; a roll-out moves endpoints to a newer version one by one. */
  weightsVersion: WeightsVersion
  objective: PoolObjective
  /** Least number of endpoints that must stay in service. */
  floor: number
  /** Most endpoints that load weights at the same time. */
  maxParallelLoads: number
}

/** Plain HTTP services. */
export interface ServicePoolSpec {
  type: 'service'
  floor: number
}
