import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import type { Usage } from 'knapweedshunt-attempts'

/** Present figures of one organisation and class. */
export interface FigureRow {
  organisation: string
  priorityClass: string
  /** Finished requests. */
  requests: number
  /** Requests refused or failed. */
  refused: number
  /** Time in queue, milliseconds. */
  queueP95Ms: number
  /** Time to first token, milliseconds. */
  firstTokenP50Ms: number
  firstTokenP95Ms: number
  firstTokenP99Ms: number
  /** Share of prompt tokens served from cache, 0 to 1. */
  cachedShare: number
  /** Cached share of one request that 95 in 100 exceed, 0 to 1. */
  cachedShareP5: number
  recomputedTokens: number
  /** Recomputed tokens of one request. */
  recomputedP95Tokens: number
}

const PERCENT = 100

/** Histograms of one organisation and class. */
export class FigureSeries {
  readonly queueTime = buildHistogram()
  readonly firstToken = buildHistogram()
  readonly #cachedPercent = buildHistogram()
  readonly #recomputed = buildHistogram()
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

  /** Adds a finished request's token counts. */
  addUsage ({ promptTokens, cachedTokens }: Usage): void {
    this.#promptTokens += promptTokens
    this.#cachedTokens += cachedTokens
    this.#cachedPercent.recordValue(Math.round(PERCENT * Math.min(1, cachedTokens / Math.max(1, promptTokens))))
    this.#recomputed.recordValue(Math.max(0, promptTokens - cachedTokens))
  }

  /** Present figures. */
  describe (): FigureRow {
    return {
      organisation: this.#organisation,
      priorityClass: this.#priorityClass,
      requests: this.requests,
      refused: this.refused,
      queueP95Ms: this.queueTime.getValueAtPercentile(95),
      firstTokenP50Ms: this.firstToken.getValueAtPercentile(50),
      firstTokenP95Ms: this.firstToken.getValueAtPercentile(95),
      firstTokenP99Ms: this.firstToken.getValueAtPercentile(99),
      cachedShare: this.#cachedTokens / Math.max(1, this.#promptTokens),
      cachedShareP5: this.#cachedPercent.getValueAtPercentile(5) / PERCENT,
      recomputedTokens: this.#promptTokens - this.#cachedTokens,
      recomputedP95Tokens: this.#recomputed.getValueAtPercentile(95)
    }
  }
}

/** Two digits in a packed array, since there are four for each organisation and class. */
function buildHistogram (): Histogram {
  return build({ numberOfSignificantValueDigits: 2, bitBucketSize: 'packed' })
}
