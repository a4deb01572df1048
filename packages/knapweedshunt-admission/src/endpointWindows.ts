import type { AttemptId, EndpointName, PoolName } from 'knapweedshunt-types'
import type { WindowOptions } from './admissionOptions.ts'
import type { PoolEndpoint } from './admissionTypes.ts'
import { ConcurrencyWindow } from './concurrencyWindow.ts'

interface WindowEntry {
  pool: PoolName
  endpoint: EndpointName
  incarnation: string
  window: ConcurrencyWindow
}

interface PoolWindows {
  endpoints: Set<EndpointName>
  fullEndpoints: Set<EndpointName>
  capacity: number
}

/** Concurrency windows of all endpoints. The capacity of a pool is the sum of its endpoints' window sizes. */
export class EndpointWindows {
  readonly #options: WindowOptions
  readonly #entries = new Map<EndpointName, WindowEntry>()
  readonly #pools = new Map<PoolName, PoolWindows>()
  readonly #attempts = new Map<AttemptId, WindowEntry>()

  constructor (options: WindowOptions) {
    this.#options = options
  }

  /** Number of attempts in flight, including those on removed endpoints. */
  get inFlight (): number {
    return this.#attempts.size
  }

  /** Maximum number of running requests of the pool; 0 for an unknown pool. */
  getCapacity (pool: PoolName): number {
    return this.#pools.get(pool)?.capacity ?? 0
  }

  /** Endpoints of the pool whose window is full. */
  listFullEndpoints (pool: PoolName): EndpointName[] {
    return [...this.#pools.get(pool)?.fullEndpoints ?? []]
  }

  /** Window of an endpoint; undefined when the endpoint is not usable. */
  findWindow (endpoint: EndpointName): ConcurrencyWindow | undefined {
    return this.#entries.get(endpoint)?.window
  }

  /** Replaces the usable endpoints of a pool. An endpoint keeps its window unless its incarnation changed. */
  setEndpoints (pool: PoolName, endpoints: PoolEndpoint[]): void {
    const usable = new Set(endpoints.map(one => one.endpoint))
    for (const name of this.#pools.get(pool)?.endpoints ?? []) if (!usable.has(name)) this.#entries.delete(name)
    const windows: PoolWindows = { endpoints: usable, fullEndpoints: new Set(), capacity: 0 }
    this.#pools.set(pool, windows)
    for (const one of endpoints) {
      const { window, endpoint } = this.#getOrCreateEntry(pool, one)
      windows.capacity += window.size
      if (window.isFull()) windows.fullEndpoints.add(endpoint)
    }
  }

  /** Counts an attempt sent to an endpoint. Ignores unknown endpoints and attempts already counted. */
  recordStart (attempt: AttemptId, endpoint: EndpointName): void {
    const entry = this.#entries.get(endpoint)
    if (entry === undefined || this.#attempts.has(attempt)) return
    this.#attempts.set(attempt, entry)
    this.#updateEntry(entry, window => window.recordStart())
  }

  /** Counts an attempt that ended, including one on a removed endpoint. */
  recordFinish (attempt: AttemptId): void {
    const entry = this.#attempts.get(attempt)
    if (entry === undefined) return
    this.#attempts.delete(attempt)
    this.#updateEntry(entry, window => window.recordFinish())
  }

  /** Records a time to the first token. Returns the endpoint's pool, undefined for an unknown endpoint. */
  recordFirstTokenDelay (endpoint: EndpointName, firstTokenMs: number, tokens: number): PoolName | undefined {
    return this.#updateEndpoint(endpoint, window => window.recordFirstTokenDelay(firstTokenMs, tokens))
  }

  /** Shrinks the window of an overloaded endpoint. Returns its pool, undefined for an unknown endpoint. */
  recordOverload (endpoint: EndpointName): PoolName | undefined {
    return this.#updateEndpoint(endpoint, window => window.recordOverload())
  }

  #updateEndpoint (endpoint: EndpointName, update: (window: ConcurrencyWindow) => void): PoolName | undefined {
    const entry = this.#entries.get(endpoint)
    if (entry === undefined) return undefined
    this.#updateEntry(entry, update)
    return entry.pool
  }

  #updateEntry (entry: WindowEntry, update: (window: ConcurrencyWindow) => void): void {
    const oldSize = entry.window.size
    update(entry.window)
    const pool = this.#pools.get(entry.pool)
    if (pool === undefined || this.#entries.get(entry.endpoint) !== entry) return
    pool.capacity += entry.window.size - oldSize
    if (entry.window.isFull()) pool.fullEndpoints.add(entry.endpoint)
    else pool.fullEndpoints.delete(entry.endpoint)
  }

  #getOrCreateEntry (pool: PoolName, { endpoint, incarnation }: PoolEndpoint): WindowEntry {
    const existing = this.#entries.get(endpoint)
    if (existing?.pool === pool && (existing.incarnation === incarnation || existing.incarnation === '')) {
      existing.incarnation = incarnation
      return existing
    }
    const entry = { pool, endpoint, incarnation, window: new ConcurrencyWindow(this.#options) }
    this.#entries.set(endpoint, entry)
    return entry
  }
}
