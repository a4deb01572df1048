import type { DataCentreId } from 'knapweedshunt-types'
import { DEFAULT_OBJECTIVES } from './objectiveWeights.ts'
import type { ObjectiveTable } from './objectiveWeights.ts'
import { PlacementError } from './placementError.ts'

/** What the placement is tuned by. Cost is counted in prompt tokens that an endpoint of weight 1 would compute. */
export interface PlacementOptions {
  /** Seed of the choice among near-equal endpoints; routers should differ in it. */
  seed: number
  /** Data centres so near that they count as the router's own; their endpoints hold one cache between them. */
  nearDataCentres: DataCentreId[]
  /** How the parts of a cost weigh against each other, by objective. */
  objectives: ObjectiveTable
  /** Cost of leaving the router's own data centre for a near one, in prompt tokens. */
  nearTokens: number
  /** Prompt tokens per second that an endpoint of weight 1 computes. */
  prefillTokensPerS: number
  /** Work beside the prompt that one request brings, in prompt tokens. */
  requestTokens: number
  /** Work that one running stream adds to what comes after it, in prompt tokens. */
  runningTokens: number
  /** Difference of cost within which endpoints count as equal, in prompt tokens. */
  slackTokens: number
  /** Age at which evidence is forgotten, in milliseconds. */
  evidenceMs: number
  /** Keys remembered. */
  keyCapacity: number
  /** Kept KV caches remembered. */
  keptCapacity: number
  /** Start-up cost of an import, in milliseconds. */
  importStartMs: number
  /** Prompt tokens per second that an import brings. */
  importTokensPerS: number
  /** Age at which an attempt without an end is forgotten, in milliseconds. */
  attemptMs: number
}

/** Defaults of {@link PlacementOptions}. */
export const DEFAULT_PLACEMENT_OPTIONS: PlacementOptions = {
  seed: 1,
  nearDataCentres: [],
  objectives: DEFAULT_OBJECTIVES,
  nearTokens: 40,
  prefillTokensPerS: 8_000,
  requestTokens: 100,
  runningTokens: 10,
  slackTokens: 100,
  evidenceMs: 30_000,
  keyCapacity: 8_192,
  keptCapacity: 4_096,
  importStartMs: 20,
  importTokensPerS: 100_000,
  attemptMs: 600_000
}

/** Joins given options with the defaults. Throws PlacementError for a value that cannot be used. */
export function checkPlacementOptions (given: Partial<PlacementOptions>): PlacementOptions {
  const options = { ...DEFAULT_PLACEMENT_OPTIONS, ...given }
  for (const [name, value] of Object.entries(options)) {
    if (typeof value === 'object') continue
    const least = name === 'seed' ? -Infinity : 0
    if (!Number.isFinite(value) || value <= least) throw new PlacementError(`The placement option ${name} is ${value}: give a finite number greater than ${least}.`)
  }
  return options
}
