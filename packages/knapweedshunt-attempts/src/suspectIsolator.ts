import type { AttemptId, EndpointName, PoolName } from 'knapweedshunt-types'

/** Request of a suspect attempt for an endpoint without other attempts. */
export interface IsolationRequest {
  attempt: AttemptId
  pool: PoolName
  /** Usable endpoints in order of preference. */
  candidates: EndpointName[]
}

/** Permission for a suspect attempt to start on an endpoint. */
export interface IsolationGrant {
  attempt: AttemptId
  endpoint: EndpointName
}

interface Reservation {
  request: IsolationRequest
  endpoint: EndpointName
  isGranted: boolean
}

interface PoolIsolation {
  /** Reservations by endpoint. */
  reserved: Map<EndpointName, Reservation>
  waiting: Map<AttemptId, IsolationRequest>
}

/** At most one endpoint in this many is reserved per pool, but always at least one. */
const ENDPOINTS_PER_RESERVATION = 4

/** Maximum number of waiting suspect attempts per pool. */
const MAX_WAITING = 64

/** Reserves endpoints for suspect requests, so that each runs on its endpoint without other requests of this router. */
export class SuspectIsolator {
  readonly #isolations = new Map<PoolName, PoolIsolation>()
  readonly #endpointOf = new Map<AttemptId, EndpointName>()
  readonly #inFlight = new Map<EndpointName, number>()

  /** Endpoints of the pool that other requests must not use. */
  listReserved (pool: PoolName): EndpointName[] {
    return [...this.#isolations.get(pool)?.reserved.keys() ?? []]
  }

  /** Number of this router's attempts in flight, suspect or not. */
  get inFlight (): number {
    return this.#endpointOf.size
  }

  /** Number of suspect attempts that wait or have a reserved endpoint. */
  get suspects (): number {
    return [...this.#isolations.values()].reduce((sum, isolation) => sum + isolation.reserved.size + isolation.waiting.size, 0)
  }

  /** Queues a suspect attempt and returns the attempts that may start now; null when too many wait or there is no candidate. */
  requestEndpoint (request: IsolationRequest): IsolationGrant[] | null {
    const isolation = this.#getOrCreateIsolation(request.pool)
    if (isolation.waiting.size >= MAX_WAITING || request.candidates.length === 0) return null
    isolation.waiting.set(request.attempt, request)
    return this.#reserveEndpoints(isolation)
  }

  /** Counts an attempt, suspect or not, sent to an endpoint. */
  recordStart (attempt: AttemptId, endpoint: EndpointName): void {
    this.#endpointOf.set(attempt, endpoint)
    this.#inFlight.set(endpoint, this.#countInFlight(endpoint) + 1)
  }

  /** Removes an attempt that ended, was abandoned while waiting or never started. Returns the attempts that may start now. */
  handleFinish (attempt: AttemptId): IsolationGrant[] {
    const endpoint = this.#endpointOf.get(attempt)
    if (endpoint !== undefined) this.#release(attempt, endpoint)
    return [...this.#isolations].flatMap(([pool, isolation]) => this.#removeAttempt(pool, isolation, attempt))
  }

  #release (attempt: AttemptId, endpoint: EndpointName): void {
    this.#endpointOf.delete(attempt)
    const remaining = this.#countInFlight(endpoint) - 1
    if (remaining > 0) this.#inFlight.set(endpoint, remaining)
    else this.#inFlight.delete(endpoint)
  }

  #removeAttempt (pool: PoolName, isolation: PoolIsolation, attempt: AttemptId): IsolationGrant[] {
    isolation.waiting.delete(attempt)
    for (const [endpoint, { request }] of isolation.reserved) if (request.attempt === attempt) isolation.reserved.delete(endpoint)
    const grants = this.#reserveEndpoints(isolation)
    if (isolation.waiting.size === 0 && isolation.reserved.size === 0) this.#isolations.delete(pool)
    return grants
  }

  #reserveEndpoints (isolation: PoolIsolation): IsolationGrant[] {
    for (const request of isolation.waiting.values()) {
      const endpoint = this.#chooseEndpoint(isolation, request)
      if (endpoint === undefined) break
      isolation.waiting.delete(request.attempt)
      isolation.reserved.set(endpoint, { request, endpoint, isGranted: false })
    }
    return this.#grantIdleReservations(isolation)
  }

  /** Grants reservations whose endpoint has no attempts in flight. A suspect with a single candidate shares it with other requests, since waiting for it to become idle would stop the pool. */
  #grantIdleReservations (isolation: PoolIsolation): IsolationGrant[] {
    const grants: IsolationGrant[] = []
    for (const reservation of isolation.reserved.values()) {
      const { request, endpoint } = reservation
      const canStart = this.#countInFlight(endpoint) === 0 || request.candidates.length < 2
      if (reservation.isGranted || !canStart) continue
      reservation.isGranted = true
      grants.push({ attempt: request.attempt, endpoint })
    }
    return grants
  }

  #chooseEndpoint (isolation: PoolIsolation, { candidates }: IsolationRequest): EndpointName | undefined {
    const maxReserved = Math.max(1, Math.floor(candidates.length / ENDPOINTS_PER_RESERVATION))
    if (isolation.reserved.size >= maxReserved) return undefined
    const free = candidates.filter(endpoint => !isolation.reserved.has(endpoint))
    return free.find(endpoint => this.#countInFlight(endpoint) === 0) ?? free[0]
  }

  #countInFlight (endpoint: EndpointName): number {
    return this.#inFlight.get(endpoint) ?? 0
  }

  #getOrCreateIsolation (pool: PoolName): PoolIsolation {
    const existing = this.#isolations.get(pool)
    if (existing !== undefined) return existing
    const isolation: PoolIsolation = { reserved: new Map(), waiting: new Map() }
    this.#isolations.set(pool, isolation)
    return isolation
  }
}
