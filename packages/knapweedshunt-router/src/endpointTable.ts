import type { EndpointName, EndpointView, Incarnation, Liveness, PoolName, RouterSnapshot, WeightsVersion } from 'knapweedshunt-types'

/** An endpoint as described by the latest snapshot. */
export interface EndpointEntry {
  endpoint: EndpointName
  pool: PoolName
  url: string
  /** Empty until the first report of the endpoint. */
  incarnation: Incarnation
  weightsVersion: WeightsVersion | null
  /** Version of the endpoint's software from its report; empty if that states none, null before the first report. */
  softwareVersion: string | null
  state: Liveness
  /** Whether the endpoint may receive new requests. */
  isUsable: boolean
}

const SERVING_STATES: Liveness[] = ['live', 'suspect']

/** Endpoints by name and pool; rebuilt for each snapshot. */
export class EndpointTable {
  readonly #byName = new Map<EndpointName, EndpointEntry>()
  readonly #byPool = new Map<PoolName, EndpointEntry[]>()

  constructor (snapshot: RouterSnapshot | null) {
    const views = new Map(snapshot?.endpoints.map(view => [view.endpoint, view]))
    const avoided = new Set(snapshot?.avoided)
    for (const resource of snapshot?.resources.resources ?? []) {
      if (resource.kind === 'EndpointPool') this.#getOrCreatePool(resource.name)
      if (resource.kind !== 'Endpoint') continue
      const { pool, url, draining } = resource.spec
      this.#add(buildEntry(resource.name, pool, url, draining || avoided.has(resource.name), views.get(resource.name)))
    }
  }

  /** Finds an endpoint by name. */
  find (endpoint: EndpointName): EndpointEntry | undefined {
    return this.#byName.get(endpoint)
  }

  /** Lists all endpoints. */
  list (): EndpointEntry[] {
    return [...this.#byName.values()]
  }

  /** Lists the names of all pools, also of those without endpoints. */
  listPools (): PoolName[] {
    return [...this.#byPool.keys()]
  }

  /** Lists the endpoints of a pool that may receive new requests. */
  listUsable (pool: PoolName): EndpointEntry[] {
    return (this.#byPool.get(pool) ?? []).filter(entry => entry.isUsable)
  }

  #add (entry: EndpointEntry): void {
    this.#byName.set(entry.endpoint, entry)
    this.#getOrCreatePool(entry.pool).push(entry)
  }

  #getOrCreatePool (pool: PoolName): EndpointEntry[] {
    const entries = this.#byPool.get(pool) ?? []
    this.#byPool.set(pool, entries)
    return entries
  }
}

function buildEntry (endpoint: EndpointName, pool: PoolName, url: string, isExcluded: boolean, view: EndpointView | undefined): EndpointEntry {
  const state = view?.state ?? 'live'
  return {
    endpoint,
    pool,
    url,
    incarnation: view?.incarnation ?? '',
    weightsVersion: view?.weightsVersion ?? null,
    softwareVersion: view?.load ? view.load.softwareVersion ?? '' : null,
    state,
    isUsable: !isExcluded && view?.load?.role !== 'drain' && SERVING_STATES.includes(state)
  }
}
