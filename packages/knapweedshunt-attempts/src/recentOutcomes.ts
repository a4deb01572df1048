import type { EndpointName } from 'knapweedshunt-types'

interface Outcome {
  atMs: number
  parts: readonly string[]
  /** Incarnation that crashed under the attempt; null if it was served. */
  crashedEndpoint: EndpointName | null
}

/** Number of outcomes that are kept when older ones are dropped. */
const MIN_OUTCOMES = 500

/** Estimated counts before any outcome: one attempt of four is lost. */
const PRIOR = { served: 1.5, lost: 0.5 } as const

/** Outcomes of this VM's latest attempts, with the shared parts of their prompts. */
export class RecentOutcomes {
  readonly #keepMs: number
  #outcomes: Outcome[] = []

  /** Outcomes are held for `keepMs`. */
  constructor (keepMs: number) {
    this.#keepMs = keepMs
  }

  /** Records an attempt that was served completely, or under which this incarnation of its endpoint crashed. */
  record (parts: readonly string[], crashedEndpoint: EndpointName | null): void {
    this.#outcomes.push({ atMs: performance.now(), parts, crashedEndpoint })
    if (this.#outcomes.length >= 2 * MIN_OUTCOMES) this.#outcomes = this.#listSince(performance.now() - this.#keepMs).slice(-MIN_OUTCOMES)
  }

  /** Whether a request with the part was served after a time. */
  hasServedAfter (part: string, atMs: number): boolean {
    return this.#outcomes.some(outcome => outcome.crashedEndpoint === null && outcome.atMs > atMs && outcome.parts.includes(part))
  }

  /** Estimates the share of attempts without a part that were lost since a time, apart from those that ended with the endpoints which crashed under it. */
  estimateLostShareWithout (part: string, crashedEndpoints: ReadonlySet<EndpointName>, sinceMs: number): number {
    const counted = this.#listSince(sinceMs).filter(({ parts, crashedEndpoint }) => !parts.includes(part) && (crashedEndpoint === null || !crashedEndpoints.has(crashedEndpoint)))
    const lostCount = counted.filter(({ crashedEndpoint }) => crashedEndpoint !== null).length
    return (lostCount + PRIOR.lost) / (counted.length + PRIOR.served + PRIOR.lost)
  }

  #listSince (sinceMs: number): Outcome[] {
    return this.#outcomes.filter(({ atMs }) => atMs >= sinceMs)
  }
}
