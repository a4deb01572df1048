import { computeFingerprint, SuspectIsolator, SuspectRegistry } from 'knapweedshunt-attempts'
import type { IsolationGrant, SuspectMark, SuspectState } from 'knapweedshunt-attempts'
import type { AttemptId, EndpointName, PoolName } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { CallerRequest } from './callerRequest.ts'

/** Keeps requests that may crash endpoints apart, and tells peers of them. */
export class SuspectGuard {
  readonly registry = new SuspectRegistry()
  readonly lane = new SuspectIsolator()
  readonly #announce: (mark: SuspectMark) => void
  readonly #onGrant = new Map<AttemptId, (endpoint: EndpointName) => void>()

  constructor (announce: (mark: SuspectMark) => void) {
    this.#announce = announce
  }

  /** What may be done with the request now. */
  check (request: CallerRequest): SuspectState {
    return this.registry.check(nameRequest(request))
  }

  /** An endpoint crashed under the request. */
  noteCrash (request: CallerRequest, endpoint: EndpointName, startedAtMs: number): void {
    this.#announce(this.registry.recordCrash(nameRequest(request), endpoint, startedAtMs))
  }

  /** The request ran to its end. */
  noteSuccess (request: CallerRequest): void {
    const mark = this.registry.recordSuccess(nameRequest(request))
    if (mark !== null) this.#announce(mark)
  }

  /** Calls `onGrant` when the attempt may start on an endpoint of its own; false when too many wait. Candidates are ranked by request, so that suspects spread alike on all VMs. */
  ask (request: CallerRequest, attempt: AttemptId, candidates: EndpointName[], onGrant: (endpoint: EndpointName) => void): boolean {
    const fingerprint = nameRequest(request)
    const scored = candidates.map(endpoint => ({ endpoint, score: hashText(fingerprint, endpoint) }))
    const ranked = scored.sort((a, b) => a.score < b.score ? -1 : 1).map(one => one.endpoint)
    this.#onGrant.set(attempt, onGrant)
    const grants = this.lane.requestEndpoint({ attempt, pool: request.pool, candidates: ranked })
    if (grants === null) this.#onGrant.delete(attempt)
    this.#grant(grants ?? [])
    return grants !== null
  }

  /** Endpoints that other requests leave alone. */
  listReserved (pool: PoolName): EndpointName[] {
    return this.lane.listReserved(pool)
  }

  /** An attempt is over, or does not wait any more. */
  noteFinished (attempt: AttemptId): void {
    this.#onGrant.delete(attempt)
    this.#grant(this.lane.handleFinish(attempt))
  }

  #grant (grants: IsolationGrant[]): void {
    for (const { attempt, endpoint } of grants) {
      const onGrant = this.#onGrant.get(attempt)
      this.#onGrant.delete(attempt)
      onGrant?.(endpoint)
    }
  }
}

function nameRequest (request: CallerRequest): string {
  return computeFingerprint(request.organisation, request.digest)
}
