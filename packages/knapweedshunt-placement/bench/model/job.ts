import type { PrefixLevel } from 'knapweedshunt-types'
import type { Segment } from './segmentCache.ts'

/** One request of the simulated traffic. */
export interface Job {
  id: number
  organisation: number
  atMs: number
  job: 'short' | 'long'
  /** Index of the router that receives the request. */
  router: number
  segments: Segment[]
  levels: PrefixLevel[]
  promptTokens: number
  outputTokens: number
  /** Prompt tokens of segments that no earlier request contains. */
  freshTokens: number
}
