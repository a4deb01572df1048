import type { AttemptId, EndpointName, PoolName } from 'knapweedshunt-types'
import type { WindowOptions } from './admissionOptions.ts'
import type { WindowEndpoint } from './admissionTypes.ts'
import { DelayWindow } from './delayWindow.ts'

interface Entry {
  pool: PoolName
  endpoint: EndpointName
  incarnation: string
  window: DelayWindow
}

interface PoolWindows {
  endpoints: Set<EndpointName>
  full: Set<EndpointName>
  capacity: number
}

/** Windows of all endpoints; a pool's capacity is the sum of its endpoints' windows. */
export class EndpointWindows {
  readonly #options: WindowOptions
  readonly #entries = new Map<EndpointName, Entry>()
  readonly #pools = new Map<PoolName, PoolWindows>()
  readonly #attempts = new Map<AttemptId, Entry>()

  constructor (options: WindowOptions) {
    this.#options = options
  }

  /** Attempts in flight, also on endpoints that are gone. */
  get inFlight (): number {
    return this.#attempts.size
  }

  /** Requests that the pool may have running. */
  countCapacity (pool: PoolName): number {
    return this.#pools.get(pool)?.capacity ?? 0
  }

  /** Endpoints of the pool that have all they should have. */
  listFull (pool: PoolName): EndpointName[] {
    return [...this.#pools.get(pool)?.full ?? []]
  }

  /** Window of an endpoint, undefined when it may get nothing. */
  findWindow (endpoint: EndpointName): DelayWindow | undefined {
    return this.#entries.get(endpoint)?.window
  }

  /** Takes the usable endpoints of a pool. A new incarnation starts anew. */
  setEndpoints (pool: PoolName, endpoints: WindowEndpoint[]): void {
    const wanted = new Set(endpoints.map(one => one.endpoint))
    for (const name of this.#pools.get(pool)?.endpoints ?? []) if (!wanted.has(name)) this.#entries.delete(name)
    const windows: PoolWindows = { endpoints: wanted, full: new Set(), capacity: 0 }
    this.#pools.set(pool, windows)
    for (const one of endpoints) {
      const { window, endpoint } = this.#open(pool, one)
      windows.capacity += window.size
      if (window.isFull()) windows.full.add(endpoint)
    }
  }

  /** An attempt went to an endpoint. */
  noteStarted (attempt: AttemptId, endpoint: EndpointName): void {
    const entry = this.#entries.get(endpoint)
    if (entry === undefined || this.#attempts.has(attempt)) return
    this.#attempts.set(attempt, entry)
    this.#change(entry, window => window.noteStarted())
  }

  /** An attempt is over, also one on an endpoint that is gone. */
  noteFinished (attempt: AttemptId): void {
    const entry = this.#attempts.get(attempt)
    if (entry === undefined) return
    this.#attempts.delete(attempt)
    this.#change(entry, window => window.noteFinished())
  }

  /** Takes the delay to a first token; returns the endpoint's pool. */
  noteDelay (endpoint: EndpointName, firstTokenMs: number, tokens: number): PoolName | undefined {
    return this.#changeNamed(endpoint, window => window.noteDelay(firstTokenMs, tokens))
  }

  /** The endpoint said that it has too much; returns its pool. */
  noteOverloaded (endpoint: EndpointName): PoolName | undefined {
    return this.#changeNamed(endpoint, window => window.noteOverloaded())
  }

  #changeNamed (endpoint: EndpointName, step: (window: DelayWindow) => void): PoolName | undefined {
    const entry = this.#entries.get(endpoint)
    if (entry === undefined) return undefined
    this.#change(entry, step)
    return entry.pool
  }

  #change (entry: Entry, step: (window: DelayWindow) => void): void {
    const before = entry.window.size
    step(entry.window)
    const pool = this.#pools.get(entry.pool)
    if (pool === undefined || this.#entries.get(entry.endpoint) !== entry) return
    pool.capacity += entry.window.size - before
    if (entry.window.isFull()) pool.full.add(entry.endpoint)
    else pool.full.delete(entry.endpoint)
  }

  #open (pool: PoolName, { endpoint, incarnation }: WindowEndpoint): Entry {
    const known = this.#entries.get(endpoint)
    if (known?.pool === pool && (known.incarnation === incarnation || known.incarnation === '')) {
      known.incarnation = incarnation
      return known
    }
    const entry = { pool, endpoint, incarnation, window: new DelayWindow(this.#options) }
    this.#entries.set(endpoint, entry)
    return entry
  }
}
