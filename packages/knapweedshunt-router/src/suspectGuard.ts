import { computeFingerprint, CrashingPartDetector, DEFAULT_CRASHING_PART_OPTIONS, DEFAULT_SUSPECT_OPTIONS, EndpointLifespans, SuspectIsolator, SuspectRegistry } from 'knapweedshunt-attempts'
import type { IsolationGrant, SuspectMark, SuspectState } from 'knapweedshunt-attempts'
import type { AttemptId, EndpointName, EndpointView, PoolName } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { CallerRequest } from './callerRequest.ts'
import { EndpointReports } from './endpointReports.ts'

/** How the guard tells peers what it knows. */
export interface SuspectBroadcasts {
  broadcastMark (mark: SuspectMark): void
  /** Sends the evidence of the part detector. */
  broadcastParts (): void
}

/** Isolates requests that may crash endpoints, refuses those with parts that do, and broadcasts what it knows to peers. */
export class SuspectGuard {
  readonly #lifespans = new EndpointLifespans()
  readonly #reports = new EndpointReports(this.#lifespans)
  readonly registry = new SuspectRegistry(DEFAULT_SUSPECT_OPTIONS, this.#lifespans)
  readonly partDetector = new CrashingPartDetector(DEFAULT_CRASHING_PART_OPTIONS, this.#lifespans)
  readonly isolator = new SuspectIsolator()
  readonly #broadcasts: SuspectBroadcasts
  readonly #grantCallbacks = new Map<AttemptId, (endpoint: EndpointName) => void>()

  constructor (broadcasts: SuspectBroadcasts) {
    this.#broadcasts = broadcasts
  }

  /** Returns whether the request is clear, suspect or quarantined. */
  check (request: CallerRequest): SuspectState {
    const requestState = this.registry.check(computeRequestFingerprint(request))
    if (requestState.type === 'quarantined') return requestState
    const partState = this.partDetector.check(request.sharedParts)
    return partState.type === 'quarantined' ? { type: 'quarantined', retryAfterMs: partState.retryAfterMs, isDoubtful: false } : requestState
  }

  /** Records that an endpoint crashed while it ran the request. */
  recordCrash (request: CallerRequest, endpoint: EndpointName, startedAtMs: number): void {
    this.#broadcasts.broadcastMark(this.registry.recordCrash(computeRequestFingerprint(request), endpoint, startedAtMs))
    if (request.sharedParts.length === 0) return
    this.partDetector.recordCrash(request.sharedParts, this.#reports.findIncarnation(endpoint) ?? `${endpoint}@${Math.round(startedAtMs)}`, startedAtMs)
    this.#broadcasts.broadcastParts()
  }

  /** Applies the load reports of endpoints; crashes of those that have lived on no longer count. Returns the number of requests that this clears. */
  applyReports (endpoints: readonly EndpointView[]): number {
    this.#reports.apply(endpoints)
    const marks = this.registry.takeSurvived()
    for (const mark of marks) this.#broadcasts.broadcastMark(mark)
    if (this.partDetector.dropSurvived().isAnnounced) this.#broadcasts.broadcastParts()
    return marks.length
  }

  /** Records that an endpoint completed the request, which may clear its suspicion and that of its parts. */
  recordSuccess (request: CallerRequest): void {
    const mark = this.registry.recordSuccess(computeRequestFingerprint(request))
    if (mark !== null) this.#broadcasts.broadcastMark(mark)
    if (this.partDetector.recordServed(request.sharedParts).isAnnounced) this.#broadcasts.broadcastParts()
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
