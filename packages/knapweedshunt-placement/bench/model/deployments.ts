import type { PoolObjective } from 'knapweedshunt-types'
import type { EngineParameters } from './engineModel.ts'

/** Parameters of one simulated deployment. */
export interface Deployment {
  name: string
  objective: PoolObjective
  /** Engines per data centre. */
  engines: number[]
  /** Routers per data centre. */
  routers: number[]
  engine: EngineParameters
  /** Share of the traffic per organisation. */
  organisations: number[]
  /** Number of manuals per organisation; a manual is the outermost prefix level. */
  manuals: number
  manualTokens: number
  sections: number
  sectionTokens: number
  caseTokens: number
  outputTokens: number
  longShare: number
  /** Requests per second at the peak. */
  peakPerS: number
  /** Capacity of the KV store, in tokens. */
  kvStoreTokens: number
}

/** Tokens per cache block. */
const BLOCK_TOKENS = 16

/** Cache capacity of one engine, in blocks. */
const CACHE_BLOCKS = 4_000

const SKEWED_SHARES = [0.3, 0.25, 0.15, 0.1, 0.08, 0.05, 0.04, 0.03]

const ENGINE: EngineParameters = {
  prefillTokensPerS: 8_000,
  cacheTokens: CACHE_BLOCKS * BLOCK_TOKENS,
  slots: 32,
  tokenMs: 25,
  importLatencyMs: 20,
  importTokensPerS: 100_000
}

/** Language servers for robots: house rules, sections and short notes. Optimised for tail latency. */
export const LINDQVIST: Deployment = {
  name: 'lindqvist',
  objective: 'tail',
  engines: [5, 4, 4],
  routers: [3, 3, 2],
  engine: ENGINE,
  organisations: SKEWED_SHARES,
  manuals: 1,
  manualTokens: 6_000,
  sections: 20,
  sectionTokens: 1_200,
  caseTokens: 300,
  outputTokens: 40,
  longShare: 0,
  peakPerS: 60,
  kvStoreTokens: 4_000_000
}

/** Servers for cost estimates: long manuals and many sections that exceed the cache capacity by far. Optimised for cache reuse. */
export const STEPPE: Deployment = {
  name: 'steppe',
  objective: 'reuse',
  engines: [3, 3, 2],
  routers: [3, 3, 2],
  engine: ENGINE,
  organisations: SKEWED_SHARES,
  manuals: 3,
  manualTokens: 12_000,
  sections: 15,
  sectionTokens: 2_500,
  caseTokens: 500,
  outputTokens: 60,
  longShare: 0.7,
  peakPerS: 7,
  kvStoreTokens: 4_000_000
}
