import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Usage } from 'knapweedshunt-attempts'

/** Current metrics of one organisation and priority class. */
export interface MetricRow {
  organisation: string
  priorityClass: string
  /** Number of finished requests. */
  requests: number
  /** Number of requests refused or failed. */
  refused: number
  /** 95th percentile of the time in the queue, in milliseconds. */
  queueP95Ms: number
  /** Percentiles of the time to first token, in milliseconds. */
  firstTokenP50Ms: number
  firstTokenP95Ms: number
  firstTokenP99Ms: number
  /** Share of all prompt tokens that were served from the prefix cache, 0 to 1. */
  cachedShare: number
  /** 5th percentile of the cached share of a request, 0 to 1. */
  cachedShareP5: number
  recomputedTokens: number
  /** 95th percentile of the recomputed prompt tokens of a request. */
  recomputedP95Tokens: number
}

const PERCENT = 100

/** Histograms and counters of one organisation and priority class. */
export class MetricSeries {
  readonly queueTimesMs = buildHistogram()
  readonly firstTokenDelaysMs = buildHistogram()
  readonly #cachedPercent = buildHistogram()
  readonly #recomputedTokens = buildHistogram()
  readonly #organisation: string
  readonly #priorityClass: string
  #promptTokens = 0
  #cachedTokens = 0
  requests = 0
  refused = 0

  constructor (organisation: string, priorityClass: string) {
    this.#organisation = organisation
    this.#priorityClass = priorityClass
  }

  /** Records the token counts of a finished request. */
  addUsage ({ promptTokens, cachedTokens }: Usage): void {
    this.#promptTokens += promptTokens
    this.#cachedTokens += cachedTokens
    this.#cachedPercent.recordValue(Math.round(PERCENT * Math.min(1, cachedTokens / Math.max(1, promptTokens))))
    this.#recomputedTokens.recordValue(Math.max(0, promptTokens - cachedTokens))
  }

  /** Summarises the series as one row. */
  describe (): MetricRow {
    return {
      organisation: this.#organisation,
      priorityClass: this.#priorityClass,
      requests: this.requests,
      refused: this.refused,
      queueP95Ms: this.queueTimesMs.getValueAtPercentile(95),
      firstTokenP50Ms: this.firstTokenDelaysMs.getValueAtPercentile(50),
      firstTokenP95Ms: this.firstTokenDelaysMs.getValueAtPercentile(95),
      firstTokenP99Ms: this.firstTokenDelaysMs.getValueAtPercentile(99),
      cachedShare: this.#cachedTokens / Math.max(1, this.#promptTokens),
      cachedShareP5: this.#cachedPercent.getValueAtPercentile(5) / PERCENT,
      recomputedTokens: this.#promptTokens - this.#cachedTokens,
      recomputedP95Tokens: this.#recomputedTokens.getValueAtPercentile(95)
    }
  }
}

/** Creates a histogram with two significant digits and packed buckets to save memory, since each organisation and class has four of them. */
function buildHistogram (): Histogram {
  return build({ numberOfSignificantValueDigits: 2, bitBucketSize: 'packed' })
}
