import type { EndpointName, EndpointView, Incarnation } from 'knapweedshunt-types'

interface TrackedEndpoint {
  incarnation: Incarnation
  firstSeenMs: number
  drainedSinceMs: number | null
}

/** In-memory history of endpoints between two plans of one VM. Losing it only makes the next plans wait longer. */
export class EndpointTracker {
  readonly #tracked = new Map<EndpointName, TrackedEndpoint>()

  /** Records the present view; null when the endpoint has never reported. */
  update (endpoint: EndpointName, view: EndpointView | null): void {
    const now = performance.now()
    const previous = this.#tracked.get(endpoint)
    const incarnation = view?.incarnation ?? ''
    const isSame = previous !== undefined && previous.incarnation === incarnation
    const isDrained = view?.load?.role === 'drain'
    const drainedSinceMs = isDrained ? (isSame ? previous.drainedSinceMs : null) ?? now : null
    this.#tracked.set(endpoint, { incarnation, firstSeenMs: previous?.firstSeenMs ?? now, drainedSinceMs })
  }

  /** Time for which the endpoint has been seen in role `drain`, in milliseconds; 0 when it is not in that role. */
  readDrainedMs (endpoint: EndpointName): number {
    const since = this.#tracked.get(endpoint)?.drainedSinceMs ?? null
    return since === null ? 0 : performance.now() - since
  }

  /** Whether the endpoint is dead, or has never reported, and has been silent for at least the given time. */
  isUnreachable (endpoint: EndpointName, view: EndpointView | null, timeoutMs: number): boolean {
    if (view !== null) return view.state === 'dead' && view.loadAgeMs >= timeoutMs
    const firstSeenMs = this.#tracked.get(endpoint)?.firstSeenMs ?? performance.now()
    return performance.now() - firstSeenMs >= timeoutMs
  }
}
