/** Counts and latencies of a set of calls. */
export interface LoadSummary {
  calls: number
  answered: number
  ordered: number
  refused: number
  cut: number
  unreached: number
  /** Cached share of the prompt tokens of answered calls, 0 to 1. */
  hitRate: number
  /** Prompt tokens recomputed although their prefix was sent before. */
  wastedTokens: number
  promptTokens: number
  /** Time to first token, milliseconds. */
  firstTokenP50Ms: number
  firstTokenP95Ms: number
  firstTokenP99Ms: number
}

/** Summary of one organisation and job. */
export interface LoadGroup extends LoadSummary {
  organisation: string
  job: string
  /** Histogram of the time to first token. */
  buckets: LoadBucket[]
}

/** One histogram bucket; `untilMs` is its exclusive upper edge in milliseconds. */
export interface LoadBucket {
  untilMs: number
  calls: number
}

/** Number of calls refused with one error code. */
export interface RefusalCount {
  code: string
  calls: number
}

/** Result of a run, as written to the JSON file. */
export interface LoadReport {
  preset: string
  seed: number
  requestsPerSecond: number
  durationMs: number
  totals: LoadSummary
  groups: LoadGroup[]
  refusals: RefusalCount[]
}
