/** Counts and times of one group of calls. */
export interface LoadRow {
  calls: number
  answered: number
  ordered: number
  refused: number
  cut: number
  unreached: number
  /** Cached share of all prompt tokens, 0 to 1. */
  hitRate: number
  /** Prompt tokens computed although they were sent before. */
  wastedTokens: number
  promptTokens: number
  /** Time to first token, milliseconds. */
  firstTokenP50Ms: number
  firstTokenP95Ms: number
  firstTokenP99Ms: number
}

/** A row of one organisation and job. */
export interface LoadGroup extends LoadRow {
  organisation: string
  job: string
  /** Calls per bucket of time to first token. */
  buckets: LoadBucket[]
}

/** One bucket; `untilMs` is its upper edge. */
export interface LoadBucket {
  untilMs: number
  calls: number
}

/** Refusals of one code. */
export interface RefusalCount {
  code: string
  calls: number
}

/** Result of a run, as written to JSON. */
export interface LoadReport {
  preset: string
  seed: number
  requestsPerSecond: number
  durationMs: number
  totals: LoadRow
  groups: LoadGroup[]
  refusals: RefusalCount[]
}
