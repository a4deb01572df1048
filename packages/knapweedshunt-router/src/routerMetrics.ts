import { StatsD } from 'hot-shots'
import type { Usage } from 'knapweedshunt-attempts'
import type { CallerRequest } from './callerRequest.ts'
import { MetricSeries } from './metricSeries.ts'
import type { MetricRow } from './metricSeries.ts'

const PREFIX = 'knapweedshunt.router.'

/** Most series in memory; the least recently used series is evicted first. */
const MAX_SERIES = 2_048

/** Request metrics per organisation and priority class, held in memory for operators and sent to StatsD. */
export class RouterMetrics {
  readonly #client: StatsD
  readonly #series = new Map<string, MetricSeries>()

  constructor (host: string, port: number) {
    this.#client = new StatsD({ host: host || '127.0.0.1', port, prefix: PREFIX, mock: host === '', errorHandler: () => {} })
  }

  /** Records the time between receipt and admission of a request, in milliseconds. */
  recordQueueTime (request: CallerRequest, queueTimeMs: number): void {
    this.#getOrCreateSeries(request).queueTimesMs.recordValue(Math.round(queueTimeMs))
    this.#client.histogram('queue_ms', queueTimeMs, buildTags(request))
  }

  /** Records the time to first token, in milliseconds. */
  recordFirstToken (request: CallerRequest, firstTokenMs: number): void {
    this.#getOrCreateSeries(request).firstTokenDelaysMs.recordValue(Math.round(firstTokenMs))
    this.#client.histogram('first_token_ms', firstTokenMs, buildTags(request))
  }

  /** Records a finished request; `usage` is null when the endpoint reported none. */
  recordUsage (request: CallerRequest, usage: Usage | null): void {
    const series = this.#getOrCreateSeries(request)
    series.requests++
    if (usage === null) return
    series.addUsage(usage)
    this.#client.histogram('cached_share', usage.cachedTokens / Math.max(1, usage.promptTokens), buildTags(request))
    this.#client.histogram('recomputed_tokens', usage.promptTokens - usage.cachedTokens, buildTags(request))
  }

  /** Counts a request that was refused or failed, by error code. */
  recordRefusal (request: CallerRequest, code: string): void {
    this.#getOrCreateSeries(request).refused++
    this.#client.increment('refused', 1, { ...buildTags(request), code })
  }

  /** Lists the current metrics, one row per organisation and class. */
  listRows (): MetricRow[] {
    return [...this.#series.values()].map(series => series.describe())
  }

  /** Closes the StatsD socket. */
  close (): Promise<void> {
    return new Promise(resolve => this.#client.close(() => resolve()))
  }

  #getOrCreateSeries (request: CallerRequest): MetricSeries {
    const key = `${request.organisation}/${request.priorityClass}`
    const series = this.#series.get(key) ?? new MetricSeries(request.organisation, request.priorityClass)
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
