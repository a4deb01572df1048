import type { PrefixLevel } from 'knapweedshunt-types'
import type { Segment } from './segmentCache.ts'

/** One request of the traffic. */
export interface Job {
  id: number
  organisation: number
  atMs: number
  job: 'short' | 'long'
  /** Router that gets it. */
  router: number
  segments: Segment[]
  levels: PrefixLevel[]
  promptTokens: number
  outputTokens: number
  /** Prompt tokens that no earlier request of the traffic had. */
  freshTokens: number
}
