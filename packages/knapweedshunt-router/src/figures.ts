import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'
import { StatsD } from 'hot-shots'
import type { Usage } from 'knapweedshunt-attempts'
import type { CallerRequest } from './callerRequest.ts'

/** Present figures of one organisation and class. */
export interface FigureRow {
  organisation: string
  priorityClass: string
  requests: number
  /** Time to first token, milliseconds. */
  firstTokenP50Ms: number
  firstTokenP95Ms: number
  firstTokenP99Ms: number
  /** Share of prompt tokens served from cache, 0 to 1. */
  cachedShare: number
  recomputedTokens: number
}

interface Series {
  organisation: string
  priorityClass: string
  requests: number
  firstToken: Histogram
  promptTokens: number
  cachedTokens: number
}

const PREFIX = 'knapweedshunt.router.'

/** Histograms per organisation and class, kept for operators and sent by StatsD. */
export class Figures {
  readonly #client: StatsD
  readonly #series = new Map<string, Series>()

  constructor (host: string, port: number) {
    this.#client = new StatsD({ host: host || '127.0.0.1', port, prefix: PREFIX, mock: host === '', errorHandler: () => {} })
  }

  /** Records time to first token, in milliseconds. */
  recordFirstToken (request: CallerRequest, ms: number): void {
    this.#open(request).firstToken.recordValue(Math.round(ms))
    this.#client.histogram('first_token_ms', ms, this.#tag(request))
  }

  /** Records a finished request. */
  recordUsage (request: CallerRequest, usage: Usage | null): void {
    const series = this.#open(request)
    series.requests++
    if (usage === null) return
    series.promptTokens += usage.promptTokens
    series.cachedTokens += usage.cachedTokens
    this.#client.histogram('cached_share', usage.cachedTokens / Math.max(1, usage.promptTokens), this.#tag(request))
    this.#client.histogram('recomputed_tokens', usage.promptTokens - usage.cachedTokens, this.#tag(request))
  }

  /** Present figures. */
  listRows (): FigureRow[] {
    return [...this.#series.values()].map(describeSeries)
  }

  /** Closes the socket. */
  close (): Promise<void> {
    return new Promise(resolve => this.#client.close(() => resolve()))
  }

  #open (request: CallerRequest): Series {
    const key = `${request.organisation}/${request.priorityClass}`
    const known = this.#series.get(key)
    if (known) return known
    const series = { organisation: request.organisation, priorityClass: request.priorityClass, requests: 0, firstToken: build(), promptTokens: 0, cachedTokens: 0 }
    this.#series.set(key, series)
    return series
  }

  #tag (request: CallerRequest): Record<string, string> {
    return { organisation: request.organisation, class: request.priorityClass }
  }
}

function describeSeries (series: Series): FigureRow {
  return {
    organisation: series.organisation,
    priorityClass: series.priorityClass,
    requests: series.requests,
    firstTokenP50Ms: series.firstToken.getValueAtPercentile(50),
    firstTokenP95Ms: series.firstToken.getValueAtPercentile(95),
    firstTokenP99Ms: series.firstToken.getValueAtPercentile(99),
    cachedShare: series.cachedTokens / Math.max(1, series.promptTokens),
    recomputedTokens: series.promptTokens - series.cachedTokens
  }
}
