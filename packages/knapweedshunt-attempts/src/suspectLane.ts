import type { AttemptId, EndpointName, PoolName } from 'knapweedshunt-types'

/** A suspect attempt that asks for an endpoint of its own. */
export interface LaneRequest {
  attempt: AttemptId
  pool: PoolName
  /** Usable endpoints, the preferred one first. */
  candidates: EndpointName[]
}

/** A suspect attempt may start. */
export interface LaneGrant {
  attempt: AttemptId
  endpoint: EndpointName
}

interface Reservation {
  request: LaneRequest
  endpoint: EndpointName
  granted: boolean
}

interface Lane {
  /** By endpoint. */
  reserved: Map<EndpointName, Reservation>
  waiting: Map<AttemptId, LaneRequest>
}

/** A pool may set aside one endpoint in this many. */
const ENDPOINTS_PER_RESERVATION = 4

/** Most suspects that wait for one pool. */
const MAX_WAITING = 64

/** Sets endpoints aside so that each suspect request runs without others of this router, one at a time on its endpoint. */
export class SuspectLane {
  readonly #lanes = new Map<PoolName, Lane>()
  readonly #endpointOf = new Map<AttemptId, EndpointName>()
  readonly #inFlight = new Map<EndpointName, number>()

  /** Endpoints that other requests must leave alone. */
  listReserved (pool: PoolName): EndpointName[] {
    return [...this.#lanes.get(pool)?.reserved.keys() ?? []]
  }

  /** Attempts in flight of this router. */
  get inFlight (): number {
    return this.#endpointOf.size
  }

  /** Suspects that wait or hold an endpoint. */
  get suspects (): number {
    return [...this.#lanes.values()].reduce((sum, lane) => sum + lane.reserved.size + lane.waiting.size, 0)
  }

  /** Asks for an endpoint; null when too many wait. */
  ask (request: LaneRequest): LaneGrant[] | null {
    const lane = this.#open(request.pool)
    if (lane.waiting.size >= MAX_WAITING || request.candidates.length === 0) return null
    lane.waiting.set(request.attempt, request)
    return this.#advance(lane)
  }

  /** An attempt, suspect or not, went to an endpoint. */
  noteStarted (attempt: AttemptId, endpoint: EndpointName): void {
    this.#endpointOf.set(attempt, endpoint)
    this.#inFlight.set(endpoint, this.#countInFlight(endpoint) + 1)
  }

  /** An attempt is over, was given up while it waited, or never started. */
  noteFinished (attempt: AttemptId): LaneGrant[] {
    const endpoint = this.#endpointOf.get(attempt)
    if (endpoint !== undefined) this.#release(attempt, endpoint)
    return [...this.#lanes].flatMap(([pool, lane]) => this.#leave(pool, lane, attempt))
  }

  #release (attempt: AttemptId, endpoint: EndpointName): void {
    this.#endpointOf.delete(attempt)
    const left = this.#countInFlight(endpoint) - 1
    if (left > 0) this.#inFlight.set(endpoint, left)
    else this.#inFlight.delete(endpoint)
  }

  #leave (pool: PoolName, lane: Lane, attempt: AttemptId): LaneGrant[] {
    lane.waiting.delete(attempt)
    for (const [endpoint, { request }] of lane.reserved) if (request.attempt === attempt) lane.reserved.delete(endpoint)
    const grants = this.#advance(lane)
    if (lane.waiting.size === 0 && lane.reserved.size === 0) this.#lanes.delete(pool)
    return grants
  }

  #advance (lane: Lane): LaneGrant[] {
    for (const request of lane.waiting.values()) {
      const endpoint = this.#choose(lane, request)
      if (endpoint === undefined) break
      lane.waiting.delete(request.attempt)
      lane.reserved.set(endpoint, { request, endpoint, granted: false })
    }
    return this.#grant(lane)
  }

  /** An endpoint of the only pool member is shared with other requests: setting it aside would stop the pool. */
  #grant (lane: Lane): LaneGrant[] {
    const grants: LaneGrant[] = []
    for (const reservation of lane.reserved.values()) {
      const { request, endpoint } = reservation
      const isAlone = this.#countInFlight(endpoint) === 0 || request.candidates.length < 2
      if (reservation.granted || !isAlone) continue
      reservation.granted = true
      grants.push({ attempt: request.attempt, endpoint })
    }
    return grants
  }

  #choose (lane: Lane, { candidates }: LaneRequest): EndpointName | undefined {
    const most = Math.max(1, Math.floor(candidates.length / ENDPOINTS_PER_RESERVATION))
    if (lane.reserved.size >= most) return undefined
    const free = candidates.filter(endpoint => !lane.reserved.has(endpoint))
    return free.find(endpoint => this.#countInFlight(endpoint) === 0) ?? free[0]
  }

  #countInFlight (endpoint: EndpointName): number {
    return this.#inFlight.get(endpoint) ?? 0
  }

  #open (pool: PoolName): Lane {
    const known = this.#lanes.get(pool)
    if (known !== undefined) return known
    const lane: Lane = { reserved: new Map(), waiting: new Map() }
    this.#lanes.set(pool, lane)
    return lane
  }
}
