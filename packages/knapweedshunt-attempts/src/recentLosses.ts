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

/** Share of all endpoints, and number of endpoints, with which attempts must be lost at the same time for a common cause to be likely. */
const MIN_COMMON_SHARE = 0.4
const MIN_COMMON = 2
const MAX_NEEDED = 4

/** Time between ends of endpoints that have one cause, as far as several VMs notice them, in milliseconds. */
export const COINCIDENCE_MS = 100

/** When attempts were lost with incarnations of endpoints lately, at this VM and, as far as they say, at others. */
export class RecentLosses {
  readonly #countEndpoints: () => number
  #losses: Loss[] = []

  /** `countEndpoints` counts the endpoints of all pools. */
  constructor (countEndpoints: () => number = () => 0) {
    this.#countEndpoints = countEndpoints
  }

  /** Records that attempts were lost with an incarnation of an endpoint at a monotonic time. */
  record (endpoint: EndpointName, atMs: number): void {
    if (this.#losses.some(loss => loss.endpoint === endpoint && Math.abs(loss.atMs - atMs) < MIN_DISTANCE_MS)) return
    const oldestMs = performance.now() - KEEP_MS
    this.#losses = [...this.#losses, { endpoint, atMs }].filter(loss => loss.atMs >= oldestMs).slice(-MAX_LOSSES)
  }

  /** Counts the endpoints, apart from some, with which attempts were lost at the time of a loss. */
  countCoincident (atMs: number, except: ReadonlySet<EndpointName>): number {
    return new Set(this.#losses.filter(loss => Math.abs(loss.atMs - atMs) <= COINCIDENCE_MS && !except.has(loss.endpoint)).map(({ endpoint }) => endpoint)).size
  }

  /** Whether so many endpoints, apart from some, were lost at the time of a loss that a common cause is likely. */
  isCommon (atMs: number, except: ReadonlySet<EndpointName>): boolean {
    const neededCount = Math.min(MAX_NEEDED, Math.max(MIN_COMMON, Math.ceil(MIN_COMMON_SHARE * this.#countEndpoints())))
    return this.countCoincident(atMs, except) >= neededCount
  }
}
