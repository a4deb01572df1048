import type { EndpointName } from 'knapweedshunt-types'

/** Maximum number of incarnations held; the least recently seen ones are evicted. */
const MAX_INCARNATIONS = 4_096

/** Which incarnations of endpoints have served attempts of this VM: one that serves an attempt which started after a crash did not crash. */
export class EndpointLiveness {
  readonly #lastStartedAtMs = new Map<EndpointName, number>()

  /** Records that an incarnation served an attempt that started at a monotonic time. */
  recordServed (endpoint: EndpointName, startedAtMs: number): void {
    const lastStartedAtMs = Math.max(startedAtMs, this.#lastStartedAtMs.get(endpoint) ?? -Infinity)
    this.#lastStartedAtMs.delete(endpoint)
    this.#lastStartedAtMs.set(endpoint, lastStartedAtMs)
    const [oldest] = this.#lastStartedAtMs.keys()
    if (this.#lastStartedAtMs.size > MAX_INCARNATIONS) this.#lastStartedAtMs.delete(oldest)
  }

  /** Whether the incarnation was seen alive after a time. */
  isAliveAfter (endpoint: EndpointName, atMs: number): boolean {
    return (this.#lastStartedAtMs.get(endpoint) ?? -Infinity) > atMs
  }
}
