import type { EndpointName, EndpointView, Incarnation } from 'knapweedshunt-types'

interface Watched {
  incarnation: Incarnation
  firstSeenMs: number
  drainedSinceMs: number | null
}

/** What one VM remembers of endpoints between two plans; losing it only makes the next plans wait longer. */
export class EndpointWatch {
  readonly #watched = new Map<EndpointName, Watched>()

  /** Takes the present view, null when the endpoint was never heard. */
  take (endpoint: EndpointName, view: EndpointView | null): void {
    const now = performance.now()
    const known = this.#watched.get(endpoint)
    const incarnation = view?.incarnation ?? ''
    const isSame = known !== undefined && known.incarnation === incarnation
    const isDrained = view?.load?.role === 'drain'
    const drainedSinceMs = isDrained ? (isSame ? known.drainedSinceMs : null) ?? now : null
    this.#watched.set(endpoint, { incarnation, firstSeenMs: known?.firstSeenMs ?? now, drainedSinceMs })
  }

  /** How long the endpoint has been seen in role `drain`, in milliseconds. */
  readDrainedMs (endpoint: EndpointName): number {
    const since = this.#watched.get(endpoint)?.drainedSinceMs ?? null
    return since === null ? 0 : performance.now() - since
  }

  /** Whether nothing was heard of the endpoint for the given time. */
  isGone (endpoint: EndpointName, view: EndpointView | null, silenceMs: number): boolean {
    if (view !== null) return view.state === 'dead' && view.loadAgeMs >= silenceMs
    const firstSeenMs = this.#watched.get(endpoint)?.firstSeenMs ?? performance.now()
    return performance.now() - firstSeenMs >= silenceMs
  }
}
