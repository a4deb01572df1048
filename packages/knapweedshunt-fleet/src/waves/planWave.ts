import type { EndpointName } from 'knapweedshunt-types'
import type { WaveEndpoint } from './waveTypes.ts'

/** What a wave's next step is planned from. */
export interface WaveInput {
  endpoints: WaveEndpoint[]
  target: number
  /** Endpoints with an order under way. */
  ordered: EndpointName[]
  /** Those of them that wait for their requests to end, and load nothing yet. */
  draining: EndpointName[]
  /** Time since the last order, in milliseconds. */
  sinceOrderMs: number
  /** Endpoints that were given up for now. */
  resting: EndpointName[]
  parallelShare: number
}

/** A wave's next step. */
export interface WavePlan {
  /** Endpoints to be ordered now; none while most of the last ones still load, so that few notices are needed. */
  order: EndpointName[]
  /** Endpoints that get nothing new, told together with an order. */
  loading: EndpointName[]
  /** Endpoints that have the target already. */
  reached: EndpointName[]
}

/** Time after which single free places are filled, in milliseconds; before, endpoints are ordered several at once, so that few notices are needed. */
const GATHER_MS = 300

/** Plans the next step: as many loads as may run at once, the oldest weights and the fewest requests first. Pure. */
export function planWave (input: WaveInput): WavePlan {
  const { endpoints, target, ordered, resting } = input
  const behind = endpoints.filter(one => one.version < target && !ordered.includes(one.endpoint) && !resting.includes(one.endpoint))
  behind.sort((a, b) => a.version - b.version || a.running - b.running || (a.endpoint < b.endpoint ? -1 : 1))
  const parallel = Math.max(1, Math.ceil(endpoints.length * input.parallelShare))
  const free = Math.min(parallel - input.draining.length, 2 * parallel - ordered.length)
  const isGathered = free >= parallel / 2 || input.sinceOrderMs >= GATHER_MS
  const order = isGathered && free > 0 ? behind.slice(0, free).map(one => one.endpoint) : []
  const reached = endpoints.filter(one => one.version >= target).map(one => one.endpoint)
  return { order, loading: [...ordered, ...order], reached }
}
