import type { EndpointName } from 'knapweedshunt-types'
import type { WaveEndpoint } from './waveTypes.ts'

/** Input to {@link planWave}, for one pool. */
export interface WaveInput {
  endpoints: WaveEndpoint[]
  /** Version that all endpoints are to have. */
  target: number
  /** Endpoints whose load is in progress, from draining on. */
  inProgress: EndpointName[]
  /** Those of them that wait for their requests to end and do not load yet. */
  draining: EndpointName[]
  /** Time since the last batch was started, in milliseconds. */
  sinceCommandMs: number
  /** Endpoints whose load was given up and whose backoff has not passed. */
  backingOff: EndpointName[]
  /** Endpoints whose last load was given up: the others load first. */
  failed: EndpointName[]
  /** See `WaveOptions.parallelShare`. */
  parallelShare: number
}

/** Next step of a pool's wave. */
export interface WavePlan {
  /** Endpoints whose load starts now; empty while most of the last batch still load, since each batch costs a notice. */
  toLoad: EndpointName[]
  /** Endpoints that must get no new requests, announced before the loads start. */
  loading: EndpointName[]
  /** Endpoints that already have the target version. */
  reached: EndpointName[]
}

/** Time after which even a single free slot is filled, in milliseconds; until then loads start in batches, since each batch costs a notice. */
const MAX_BATCH_WAIT_MS = 300

/** Plans the next step: as many loads as may run in parallel, endpoints whose last load did not fail first, then those with the oldest weights and the fewest requests. Pure function. */
export function planWave (input: WaveInput): WavePlan {
  const { endpoints, target, inProgress, backingOff, failed } = input
  const outdated = endpoints.filter(one => one.version < target && !inProgress.includes(one.endpoint) && !backingOff.includes(one.endpoint))
  outdated.sort((a, b) => Number(failed.includes(a.endpoint)) - Number(failed.includes(b.endpoint)) || a.version - b.version || a.running - b.running || (a.endpoint < b.endpoint ? -1 : 1))
  const maxParallelLoads = Math.max(1, Math.ceil(endpoints.length * input.parallelShare))
  const freeSlots = Math.min(maxParallelLoads - input.draining.length, 2 * maxParallelLoads - inProgress.length)
  const isBatchReady = freeSlots >= maxParallelLoads / 2 || input.sinceCommandMs >= MAX_BATCH_WAIT_MS
  const toLoad = isBatchReady && freeSlots > 0 ? outdated.slice(0, freeSlots).map(one => one.endpoint) : []
  const reached = endpoints.filter(one => one.version >= target).map(one => one.endpoint)
  return { toLoad, loading: [...inProgress, ...toLoad], reached }
}
