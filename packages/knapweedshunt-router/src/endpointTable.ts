import type { EndpointName, EndpointView, Incarnation, Liveness, PoolName, RouterSnapshot, WeightsVersion } from 'knapweedshunt-types'

/** An endpoint as the last snapshot showed it. */
export interface EndpointEntry {
  endpoint: EndpointName
  pool: PoolName
  url: string
  /** Empty until the endpoint was first heard. */
  incarnation: Incarnation
  weightsVersion: WeightsVersion | null
  state: Liveness
  /** May get new work. */
  usable: boolean
}

const SERVING: Liveness[] = ['live', 'suspect']

/** Endpoints by name and pool; built anew for each snapshot. */
export class EndpointTable {
  readonly #byName = new Map<EndpointName, EndpointEntry>()
  readonly #byPool = new Map<PoolName, EndpointEntry[]>()

  constructor (snapshot: RouterSnapshot | null) {
    const views = new Map(snapshot?.endpoints.map(view => [view.endpoint, view]))
    const avoided = new Set(snapshot?.avoided)
    for (const resource of snapshot?.resources.resources ?? []) {
      if (resource.kind === 'EndpointPool') this.#openPool(resource.name)
      if (resource.kind !== 'Endpoint') continue
      const { pool, url, draining } = resource.spec
      this.#add(buildEntry(resource.name, pool, url, draining || avoided.has(resource.name), views.get(resource.name)))
    }
  }

  /** Endpoint by name. */
  find (endpoint: EndpointName): EndpointEntry | undefined {
    return this.#byName.get(endpoint)
  }

  /** Names of all pools. */
  listPools (): PoolName[] {
    return [...this.#byPool.keys()]
  }

  /** Endpoints of a pool that may get new work. */
  listUsable (pool: PoolName): EndpointEntry[] {
    return (this.#byPool.get(pool) ?? []).filter(entry => entry.usable)
  }

  #add (entry: EndpointEntry): void {
    this.#byName.set(entry.endpoint, entry)
    this.#openPool(entry.pool).push(entry)
  }

  #openPool (pool: PoolName): EndpointEntry[] {
    const entries = this.#byPool.get(pool) ?? []
    this.#byPool.set(pool, entries)
    return entries
  }
}

function buildEntry (endpoint: EndpointName, pool: PoolName, url: string, isLeftOut: boolean, view: EndpointView | undefined): EndpointEntry {
  const state = view?.state ?? 'live'
  return {
    endpoint,
    pool,
    url,
    incarnation: view?.incarnation ?? '',
    weightsVersion: view?.weightsVersion ?? null,
    state,
    usable: !isLeftOut && view?.load?.role !== 'drain' && SERVING.includes(state)
  }
}
