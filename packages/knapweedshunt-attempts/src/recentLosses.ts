import type { EndpointName } from 'knapweedshunt-types'

/** Length of a bucket, in milliseconds. */
const BUCKET_MS = 250

/** Time for which buckets are held, in milliseconds. */
const KEEP_MS = 60_000

/** Number of served attempts that are assumed beside those counted, so that few attempts show little. */
const ASSUMED_SERVED = 8

interface Bucket {
  startedAtMs: number
  servedCount: number
  lostCounts: Map<EndpointName, number>
}

/** Losses in a period. */
export interface LossSummary {
  /** Share of the attempts that were lost. */
  share: number
  /** Number of endpoint incarnations with which attempts were lost. */
  endpointCount: number
}

/** Number of attempts of this VM that endpoints served lately, and that were lost with each incarnation of an endpoint. */
export class RecentLosses {
  #buckets: Bucket[] = []

  /** Records an attempt that was served. */
  recordServed (): void {
    this.#getBucket().servedCount++
  }

  /** Records an attempt that was lost with an incarnation of an endpoint. */
  recordLost (endpoint: EndpointName): void {
    const { lostCounts } = this.#getBucket()
    lostCounts.set(endpoint, (lostCounts.get(endpoint) ?? 0) + 1)
  }

  /** Summarises the losses in a period of monotonic time, apart from those with some endpoints. */
  summarizeWithout (endpoints: ReadonlySet<EndpointName>, fromMs: number, untilMs: number): LossSummary {
    const buckets = this.#buckets.filter(({ startedAtMs }) => startedAtMs + BUCKET_MS >= fromMs && startedAtMs <= untilMs)
    const lost = buckets.flatMap(({ lostCounts }) => [...lostCounts]).filter(([endpoint]) => !endpoints.has(endpoint))
    const lostCount = lost.reduce((sum, [, count]) => sum + count, 0)
    const servedCount = buckets.reduce((sum, bucket) => sum + bucket.servedCount, 0)
    return { share: lostCount / (lostCount + servedCount + ASSUMED_SERVED), endpointCount: new Set(lost.map(([endpoint]) => endpoint)).size }
  }

  #getBucket (): Bucket {
    const nowMs = performance.now()
    const last = this.#buckets.at(-1)
    if (last !== undefined && nowMs - last.startedAtMs < BUCKET_MS) return last
    const bucket = { startedAtMs: nowMs, servedCount: 0, lostCounts: new Map() }
    this.#buckets = [...this.#buckets.filter(({ startedAtMs }) => nowMs - startedAtMs < KEEP_MS), bucket]
    return bucket
  }
}
