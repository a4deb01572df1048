import type { DataCentreId } from 'knapweedshunt-types'
import { NO_FORECASTS } from './endpointForecasts.ts'
import type { EndpointForecasts } from './endpointForecasts.ts'
import { DEFAULT_OBJECTIVES } from './objectiveWeights.ts'
import type { ObjectiveTable } from './objectiveWeights.ts'
import { PlacementError } from './placementError.ts'

/** Tuning options of the placement. Costs are in prompt tokens, as computed by an endpoint of weight 1. */
export interface PlacementOptions {
  /** Seed of the random choice among endpoints of nearly equal cost; it should differ between routers. */
  seed: number
  /** Data centres close enough to count as the router's own; prefixes are distributed over the endpoints of all of them together. */
  nearDataCentres: DataCentreId[]
  /** Weights of the cost terms, by pool objective. */
  objectives: ObjectiveTable
  /** What is expected of endpoints beyond their weights and load reports. */
  forecasts: EndpointForecasts
  /** Cost of using a near data centre in place of the router's own, in prompt tokens. */
  nearDataCentreCostTokens: number
  /** Prompt tokens per second that an endpoint of weight 1 computes. */
  prefillTokensPerS: number
  /** Work that a request causes in addition to its prompt, in prompt tokens. */
  requestOverheadTokens: number
  /** Delay that one running stream causes for later requests, in prompt tokens. */
  runningStreamCostTokens: number
  /** Endpoints whose costs differ by at most this many prompt tokens count as equal. */
  costToleranceTokens: number
  /** Age from which a cache observation is no longer used, in milliseconds; also the upper bound of the learned cache lifetime. */
  observationTtlMs: number
  /** Maximum number of level keys remembered. */
  keyCapacity: number
  /** Maximum number of KV store entries remembered. */
  kvStoreCapacity: number
  /** Fixed latency of an import, in milliseconds. */
  importLatencyMs: number
  /** Throughput of an import, in prompt tokens per second. */
  importTokensPerS: number
  /** Age at which an attempt whose end was never reported is ended, in milliseconds. */
  attemptTimeoutMs: number
}

/** Defaults of {@link PlacementOptions}. */
export const DEFAULT_PLACEMENT_OPTIONS: PlacementOptions = {
  seed: 1,
  nearDataCentres: [],
  objectives: DEFAULT_OBJECTIVES,
  forecasts: NO_FORECASTS,
  nearDataCentreCostTokens: 40,
  prefillTokensPerS: 8_000,
  requestOverheadTokens: 100,
  runningStreamCostTokens: 10,
  costToleranceTokens: 100,
  observationTtlMs: 30_000,
  keyCapacity: 8_192,
  kvStoreCapacity: 4_096,
  importLatencyMs: 20,
  importTokensPerS: 100_000,
  attemptTimeoutMs: 600_000
}

/** Merges the given options with the defaults. Throws PlacementError for a number that is not finite or too small. */
export function checkPlacementOptions (given: Partial<PlacementOptions>): PlacementOptions {
  const options = { ...DEFAULT_PLACEMENT_OPTIONS, ...given }
  for (const [name, value] of Object.entries(options)) {
    if (typeof value === 'object') continue
    const minimum = name === 'seed' ? -Infinity : 0
    if (!Number.isFinite(value) || value <= minimum) throw new PlacementError(`Invalid placement option ${name}: got ${value}, expected a finite number greater than ${minimum}.`)
  }
  return options
}
