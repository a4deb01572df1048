import type { EndpointName, PoolName } from 'knapweedshunt-types'
import type { EndpointEntry } from '../ports/endpointEntry.ts'
import type { EndpointDecision } from '../records/decision.ts'
import { EndpointRecord } from './endpointRecord.ts'

/** Time after the store's return in which rows that lapsed meanwhile come back, in milliseconds; stated by the platform, with a margin. */
const RETURN_MS = 2_300

/** Endpoints as the directory tells of them. */
export class EndpointBook {
  readonly #records = new Map<EndpointName, EndpointRecord>()
  readonly #record: (decision: EndpointDecision) => void
  readonly #onChange: () => void
  /** Until then a missing row may be one that lapsed while the store was away. */
  #returnUntilMs = -Infinity

  constructor (record: (decision: EndpointDecision) => void, onChange: () => void) {
    this.#record = record
    this.#onChange = onChange
  }

  /** Endpoints known. */
  get size (): number {
    return this.#records.size
  }

  /** Finds an endpoint. */
  find (endpoint: EndpointName): EndpointRecord | undefined {
    return this.#records.get(endpoint)
  }

  /** Lists the endpoints of a pool, or all. */
  list (pool?: PoolName): EndpointRecord[] {
    const records = [...this.#records.values()]
    return pool === undefined ? records : records.filter(record => record.entry.pool === pool)
  }

  /** Takes all rows; `isReturn` after a time in which the store did not answer. */
  takeAll (entries: EndpointEntry[], isReturn: boolean): void {
    if (isReturn) this.#returnUntilMs = performance.now() + RETURN_MS
    const present = new Set(entries.map(entry => entry.endpoint))
    for (const name of this.#records.keys()) if (!present.has(name)) this.#noteMissing(name)
    for (const entry of entries) this.#put(entry)
    this.#onChange()
  }

  /** Takes one changed row. */
  take (entry: EndpointEntry): void {
    this.#put(entry)
    this.#onChange()
  }

  /** Takes that a row is gone, or names no endpoint to use. */
  drop (endpoint: EndpointName): void {
    this.#noteMissing(endpoint)
    this.#onChange()
  }

  /** Drops the endpoints whose rows did not come back. */
  sweep (): void {
    if (performance.now() < this.#returnUntilMs) return
    let isChanged = false
    for (const [name, record] of this.#records) {
      if (record.missingSinceMs === null) continue
      this.#remove(name)
      isChanged = true
    }
    if (isChanged) this.#onChange()
  }

  #noteMissing (name: EndpointName): void {
    const record = this.#records.get(name)
    if (record === undefined) return
    if (performance.now() >= this.#returnUntilMs) return this.#remove(name)
    record.missingSinceMs ??= performance.now()
  }

  #put (entry: EndpointEntry): void {
    const known = this.#records.get(entry.endpoint)
    if (known === undefined || known.entry.incarnation !== entry.incarnation) {
      this.#records.set(entry.endpoint, new EndpointRecord(entry))
      this.#record({ type: 'endpointPresent', endpoint: entry.endpoint, pool: entry.pool, incarnation: entry.incarnation, isDraining: entry.isDraining })
      return
    }
    if (entry.isDraining && !known.entry.isDraining) this.#record({ type: 'endpointLeaving', endpoint: entry.endpoint, pool: entry.pool })
    known.entry = entry
    known.missingSinceMs = null
  }

  #remove (name: EndpointName): void {
    this.#records.delete(name)
    this.#record({ type: 'endpointGone', endpoint: name })
  }
}
