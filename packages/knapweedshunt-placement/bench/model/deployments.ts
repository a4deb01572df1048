import type { PoolObjective } from 'knapweedshunt-types'
import type { EngineShape } from './engineModel.ts'

/** What one deployment is like. */
export interface Deployment {
  name: string
  objective: PoolObjective
  /** Engines per data centre. */
  engines: number[]
  /** Routers per data centre. */
  routers: number[]
  engine: EngineShape
  /** Share of the traffic per organisation. */
  organisations: number[]
  /** House rules or manuals per organisation. */
  manuals: number
  manualTokens: number
  sections: number
  sectionTokens: number
  caseTokens: number
  outputTokens: number
  longShare: number
  /** Requests per second at the peak. */
  peakPerS: number
  /** Kept KV caches, in tokens. */
  keptTokens: number
}

/** Tokens of one cached piece. */
const PIECE_TOKENS = 16

/** Pieces that one engine caches. */
const CACHE_PIECES = 4_000

const FEW_LARGE = [0.3, 0.25, 0.15, 0.1, 0.08, 0.05, 0.04, 0.03]

const ENGINE: EngineShape = {
  prefillTokensPerS: 8_000,
  cacheTokens: CACHE_PIECES * PIECE_TOKENS,
  slots: 32,
  tokenMs: 25,
  importStartMs: 20,
  importTokensPerS: 100_000
}

/** Robots' language servers: house rules, sections, short notes; the tail counts. */
export const LINDQVIST: Deployment = {
  name: 'lindqvist',
  objective: 'tail',
  engines: [5, 4, 4],
  routers: [3, 3, 2],
  engine: ENGINE,
  organisations: FEW_LARGE,
  manuals: 1,
  manualTokens: 6_000,
  sections: 20,
  sectionTokens: 1_200,
  caseTokens: 300,
  outputTokens: 40,
  longShare: 0,
  peakPerS: 60,
  keptTokens: 4_000_000
}

/** Estimating servers: long manuals, many sections, caches far too small for all; reuse counts. */
export const STEPPE: Deployment = {
  name: 'steppe',
  objective: 'reuse',
  engines: [3, 3, 2],
  routers: [3, 3, 2],
  engine: ENGINE,
  organisations: FEW_LARGE,
  manuals: 3,
  manualTokens: 12_000,
  sections: 15,
  sectionTokens: 2_500,
  caseTokens: 500,
  outputTokens: 60,
  longShare: 0.7,
  peakPerS: 7,
  keptTokens: 4_000_000
}
