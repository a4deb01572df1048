import type { AttemptId, DataCentreId, EndpointName, EndpointSpec, EndpointView, RouterSnapshot } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { rankEndpoints } from './rankEndpoints.ts'
import type { PlaceDecision, PlaceRequest, PlacementEvent } from './placementTypes.ts'

/** An endpoint may carry this many times the mean load of its pool before requests spill to the next. */
const SPILL_FACTOR = 1.25

interface Candidate {
  endpoint: EndpointName
  weight: number
  spec: EndpointSpec
  view: EndpointView | undefined
}

interface InFlight {
  endpoint: EndpointName
  tokens: number
}

/** Chooses endpoints. Opens nothing; the caller reports what happened as events. */
export class Placement {
  readonly #dataCentre: DataCentreId
  readonly #inFlight = new Map<AttemptId, InFlight>()
  readonly #pools = new Map<string, Candidate[]>()

  constructor (dataCentre: DataCentreId) {
    this.#dataCentre = dataCentre
  }

  /** Takes an event. */
  take (event: PlacementEvent): void {
    match(event)
      .with({ type: 'snapshot' }, ({ snapshot }) => this.#takeSnapshot(snapshot))
      .with({ type: 'started' }, ({ attempt, endpoint, tokens }) => { this.#inFlight.set(attempt, { endpoint, tokens }) })
      .with({ type: 'finished' }, ({ attempt }) => { this.#inFlight.delete(attempt) })
      .exhaustive()
  }

  /** Attempts started and not finished. */
  get inFlight (): number {
    return this.#inFlight.size
  }

  /** Chooses an endpoint, of this data centre if one can take the request. */
  place (request: PlaceRequest): PlaceDecision {
    const usable = (this.#pools.get(request.pool) ?? []).filter(isUsable)
    if (usable.length === 0) return { type: 'unplaceable', reason: 'no-endpoint' }
    const open = usable.filter(candidate => !request.excluded.includes(candidate.endpoint))
    if (open.length === 0) return { type: 'unplaceable', reason: 'all-excluded' }
    const local = open.filter(candidate => candidate.spec.dataCentre === this.#dataCentre)
    return this.#choose(request, local.length > 0 ? local : open)
  }

  #choose (request: PlaceRequest, candidates: Candidate[]): PlaceDecision {
    const key = request.levels[0]?.key
    const ranked = key === undefined ? this.#sortByLoad(candidates) : rankEndpoints(key, candidates)
    const bound = this.#boundLoad(candidates)
    const rank = Math.max(0, ranked.findIndex(candidate => this.#countLoad(candidate) < bound * candidate.weight))
    const chosen = ranked[rank]
    return {
      type: 'placed',
      endpoint: chosen.endpoint,
      incarnation: chosen.view?.incarnation ?? '',
      url: chosen.spec.url,
      dataCentre: chosen.spec.dataCentre,
      rank
    }
  }

  #sortByLoad (candidates: Candidate[]): Candidate[] {
    return candidates.toSorted((a, b) => this.#countLoad(a) / a.weight - this.#countLoad(b) / b.weight)
  }

  #boundLoad (candidates: Candidate[]): number {
    const load = candidates.reduce((sum, candidate) => sum + this.#countLoad(candidate), 0)
    const weight = candidates.reduce((sum, candidate) => sum + candidate.weight, 0)
    return Math.ceil(SPILL_FACTOR * (load + 1) / weight)
  }

  #countLoad (candidate: Candidate): number {
    const own = [...this.#inFlight.values()].filter(one => one.endpoint === candidate.endpoint).length
    const reported = candidate.view?.load
    return Math.max(own, reported ? reported.running + reported.queued : 0)
  }

  #takeSnapshot (snapshot: RouterSnapshot): void {
    const views = new Map(snapshot.endpoints.map(view => [view.endpoint, view]))
    this.#pools.clear()
    for (const resource of snapshot.resources.resources) {
      if (resource.kind !== 'Endpoint') continue
      const pool = this.#pools.get(resource.spec.pool) ?? []
      pool.push({ endpoint: resource.name, weight: resource.spec.weight, spec: resource.spec, view: views.get(resource.name) })
      this.#pools.set(resource.spec.pool, pool)
    }
  }
}

function isUsable (candidate: Candidate): boolean {
  if (candidate.spec.draining) return false
  const state = candidate.view?.state ?? 'live'
  return state === 'live' || state === 'suspect'
}
