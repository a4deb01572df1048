import type { EndpointLifespans } from 'knapweedshunt-attempts'
import type { EndpointName, EndpointView, Incarnation } from 'knapweedshunt-types'

interface ReportedIncarnation {
  incarnation: Incarnation
  /** Monotonic time of its first report, in milliseconds. */
  sinceMs: number
}

/** Which incarnation each endpoint has reported: its process lived from the first report to the last one. */
export class EndpointReports {
  readonly #lifespans: EndpointLifespans
  readonly #reported = new Map<EndpointName, ReportedIncarnation>()

  constructor (lifespans: EndpointLifespans) {
    this.#lifespans = lifespans
  }

  /** Records the load reports of a snapshot. */
  apply (endpoints: readonly EndpointView[]): void {
    const nowMs = performance.now()
    for (const { endpoint, load, loadAgeMs } of endpoints) if (load !== null) this.#record(endpoint, load.incarnation, nowMs - loadAgeMs)
  }

  /** Returns the incarnation that the endpoint reported last; null before its first report. */
  findIncarnation (endpoint: EndpointName): Incarnation | null {
    return this.#reported.get(endpoint)?.incarnation ?? null
  }

  #record (endpoint: EndpointName, incarnation: Incarnation, atMs: number): void {
    const known = this.#reported.get(endpoint)
    if (known === undefined || known.incarnation !== incarnation) {
      this.#reported.set(endpoint, { incarnation, sinceMs: atMs })
      return
    }
    this.#lifespans.recordAlive(endpoint, known.sinceMs, atMs)
    this.#lifespans.recordAlive(incarnation, known.sinceMs, atMs)
  }
}
