import type { EndpointName, EndpointView, LoadReport } from 'knapweedshunt-types'

/** Silence after which an endpoint is dead, in milliseconds. */
const DEAD_AFTER_MS = 5_000

/** Silence after which an endpoint is suspect, in milliseconds. */
const SUSPECT_AFTER_MS = 2_000

interface KnownEndpoint {
  load: LoadReport
  heardAtMs: number
}

/** Which endpoints live, from their load reports. */
export class EndpointMembership {
  readonly #known = new Map<EndpointName, KnownEndpoint>()

  /** Takes a load report. */
  takeLoad (load: LoadReport): void {
    this.#known.set(load.endpoint, { load, heardAtMs: performance.now() })
  }

  /** All endpoints heard so far. */
  listEndpoints (): EndpointView[] {
    const now = performance.now()
    return [...this.#known].map(([endpoint, known]) => describeEndpoint(endpoint, known, now))
  }
}

function describeEndpoint (endpoint: EndpointName, known: KnownEndpoint, now: number): EndpointView {
  const silentMs = now - known.heardAtMs
  const state = silentMs >= DEAD_AFTER_MS ? 'dead' : silentMs >= SUSPECT_AFTER_MS ? 'suspect' : 'live'
  return { endpoint, incarnation: known.load.incarnation, state, weightsVersion: known.load.weightsVersion, load: known.load, loadAgeMs: silentMs }
}
