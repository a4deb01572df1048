import type { EndpointName } from 'knapweedshunt-types'

/** Time for which losses are held, in milliseconds. */
const KEEP_MS = 60_000

/** Losses of an endpoint that are nearer than this count as one, in milliseconds. */
const MIN_DISTANCE_MS = 50

/** Maximum number of losses held; the oldest are dropped first. */
const MAX_LOSSES = 2_048

interface Loss {
  endpoint: EndpointName
  atMs: number
}

/** When attempts were lost with incarnations of endpoints lately, at this VM and, as far as they say, at others. */
export class RecentLosses {
  #losses: Loss[] = []

  /** Records that attempts were lost with an incarnation of an endpoint at a monotonic time. */
  record (endpoint: EndpointName, atMs: number): void {
    if (this.#losses.some(loss => loss.endpoint === endpoint && Math.abs(loss.atMs - atMs) < MIN_DISTANCE_MS)) return
    const oldestMs = performance.now() - KEEP_MS
    this.#losses = [...this.#losses, { endpoint, atMs }].filter(loss => loss.atMs >= oldestMs).slice(-MAX_LOSSES)
  }

  /** Counts the endpoints, apart from some, with which attempts were lost within a time before or after a moment. */
  countEndpointsAround (atMs: number, distanceMs: number, except: ReadonlySet<EndpointName>): number {
    return new Set(this.#losses.filter(loss => Math.abs(loss.atMs - atMs) <= distanceMs && !except.has(loss.endpoint)).map(({ endpoint }) => endpoint)).size
  }
}
