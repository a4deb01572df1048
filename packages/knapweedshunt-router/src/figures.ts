import { StatsD } from 'hot-shots'
import type { Usage } from 'knapweedshunt-attempts'
import type { CallerRequest } from './callerRequest.ts'
import { FigureSeries } from './figureSeries.ts'
import type { FigureRow } from './figureSeries.ts'

const PREFIX = 'knapweedshunt.router.'

/** Most series kept for operators; the one that was longest without a request goes first. */
const MAX_SERIES = 2_048

/** Histograms per organisation and class, kept for operators and sent by StatsD. */
export class Figures {
  readonly #client: StatsD
  readonly #series = new Map<string, FigureSeries>()

  constructor (host: string, port: number) {
    this.#client = new StatsD({ host: host || '127.0.0.1', port, prefix: PREFIX, mock: host === '', errorHandler: () => {} })
  }

  /** Records the time that a request waited to be admitted, in milliseconds. */
  recordQueueTime (request: CallerRequest, ms: number): void {
    this.#open(request).queueTime.recordValue(Math.round(ms))
    this.#client.histogram('queue_ms', ms, buildTags(request))
  }

  /** Records time to first token, in milliseconds. */
  recordFirstToken (request: CallerRequest, ms: number): void {
    this.#open(request).firstToken.recordValue(Math.round(ms))
    this.#client.histogram('first_token_ms', ms, buildTags(request))
  }

  /** Records a finished request. */
  recordUsage (request: CallerRequest, usage: Usage | null): void {
    const series = this.#open(request)
    series.requests++
    if (usage === null) return
    series.addUsage(usage)
    this.#client.histogram('cached_share', usage.cachedTokens / Math.max(1, usage.promptTokens), buildTags(request))
    this.#client.histogram('recomputed_tokens', usage.promptTokens - usage.cachedTokens, buildTags(request))
  }

  /** Counts a request that was refused or failed. */
  recordRefusal (request: CallerRequest, code: string): void {
    this.#open(request).refused++
    this.#client.increment('refused', 1, { ...buildTags(request), code })
  }

  /** Present figures. */
  listRows (): FigureRow[] {
    return [...this.#series.values()].map(series => series.describe())
  }

  /** Closes the socket. */
  close (): Promise<void> {
    return new Promise(resolve => this.#client.close(() => resolve()))
  }

  #open (request: CallerRequest): FigureSeries {
    const key = `${request.organisation}/${request.priorityClass}`
    const series = this.#series.get(key) ?? new FigureSeries(request.organisation, request.priorityClass)
    this.#series.delete(key)
    this.#series.set(key, series)
    const [oldest] = this.#series.keys()
    if (this.#series.size > MAX_SERIES) this.#series.delete(oldest)
    return series
  }
}

function buildTags (request: CallerRequest): Record<string, string> {
  return { organisation: request.organisation, class: request.priorityClass }
}
