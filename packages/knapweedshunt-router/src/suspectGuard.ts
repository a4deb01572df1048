import { computeFingerprint, SuspectIsolator, SuspectRegistry } from 'knapweedshunt-attempts'
import type { IsolationGrant, SuspectMark, SuspectState } from 'knapweedshunt-attempts'
import type { AttemptId, EndpointName, PoolName } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { CallerRequest } from './callerRequest.ts'

/** Isolates requests that may crash endpoints, and broadcasts their marks to peers. */
export class SuspectGuard {
  readonly registry = new SuspectRegistry()
  readonly isolator = new SuspectIsolator()
  readonly #broadcastMark: (mark: SuspectMark) => void
  readonly #grantCallbacks = new Map<AttemptId, (endpoint: EndpointName) => void>()

  constructor (broadcastMark: (mark: SuspectMark) => void) {
    this.#broadcastMark = broadcastMark
  }

  /** Returns whether the request is clear, suspect or quarantined. */
  check (request: CallerRequest): SuspectState {
    return this.registry.check(computeRequestFingerprint(request))
  }

  /** Records that an endpoint crashed while it ran the request. */
  recordCrash (request: CallerRequest, endpoint: EndpointName, startedAtMs: number): void {
    this.#broadcastMark(this.registry.recordCrash(computeRequestFingerprint(request), endpoint, startedAtMs))
  }

  /** Records that the request completed, which may clear its suspicion. */
  recordSuccess (request: CallerRequest): void {
    const mark = this.registry.recordSuccess(computeRequestFingerprint(request))
    if (mark !== null) this.#broadcastMark(mark)
  }

  /** Calls `onEndpointGranted` when the attempt may start on an endpoint reserved for it; returns false when too many requests wait. Candidates are ranked by a hash of the request, so that all VMs rank them alike. */
  requestIsolation (request: CallerRequest, attempt: AttemptId, candidates: EndpointName[], onEndpointGranted: (endpoint: EndpointName) => void): boolean {
    const fingerprint = computeRequestFingerprint(request)
    const scored = candidates.map(endpoint => ({ endpoint, score: hashText(fingerprint, endpoint) }))
    const ranked = scored.sort((a, b) => a.score < b.score ? -1 : 1).map(candidate => candidate.endpoint)
    this.#grantCallbacks.set(attempt, onEndpointGranted)
    const grants = this.isolator.requestEndpoint({ attempt, pool: request.pool, candidates: ranked })
    if (grants === null) this.#grantCallbacks.delete(attempt)
    this.#applyGrants(grants ?? [])
    return grants !== null
  }

  /** Lists the endpoints of a pool that are reserved for suspect requests. */
  listReserved (pool: PoolName): EndpointName[] {
    return this.isolator.listReserved(pool)
  }

  /** Releases the endpoint of a finished attempt, or its place in the queue. */
  handleFinish (attempt: AttemptId): void {
    this.#grantCallbacks.delete(attempt)
    this.#applyGrants(this.isolator.handleFinish(attempt))
  }

  #applyGrants (grants: IsolationGrant[]): void {
    for (const { attempt, endpoint } of grants) {
      const onEndpointGranted = this.#grantCallbacks.get(attempt)
      this.#grantCallbacks.delete(attempt)
      onEndpointGranted?.(endpoint)
    }
  }
}

function computeRequestFingerprint (request: CallerRequest): string {
  return computeFingerprint(request.organisation, request.digest)
}
