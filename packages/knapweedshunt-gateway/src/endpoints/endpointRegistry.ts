import type { EndpointName, PoolName } from 'knapweedshunt-types'
import { groupBy } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { EndpointEntry } from '../ports/endpointEntry.ts'
import type { EndpointDecision } from '../records/decision.ts'
import { EndpointRecord } from './endpointRecord.ts'
import { PoolSpeed } from './poolSpeed.ts'

/** Time after a store outage within which endpoints write their expired rows again, in milliseconds; stated by the platform, plus a margin. */
const RECOVERY_GRACE_MS = 2_300

/** Time for which an endpoint is kept after its row was found to be unreadable, in milliseconds: endpoints write their rows within it. What the row said before may have been that the endpoint leaves, so the time ends before a leaving endpoint must get no more requests. */
const UNREADABLE_GRACE_MS = 1_250

/** A change of the endpoint table. */
export type EndpointChange =
  | { type: 'entry', entry: EndpointEntry }
  | { type: 'deleted', endpoint: EndpointName }
  /** The row says neither that its endpoint serves nor that it is gone, so what was known is kept for a while. */
  | { type: 'unreadable', endpoint: EndpointName }

/** All endpoints, by what they are looked up. */
interface ListedEndpoints {
  all: EndpointRecord[]
  byPool: Map<PoolName, EndpointRecord[]>
  byIncarnation: Map<EndpointName, EndpointRecord>
}

/** Registry of the endpoints listed in the directory. */
export class EndpointRegistry {
  readonly #records = new Map<EndpointName, EndpointRecord>()
  readonly #poolSpeeds = new Map<PoolName, PoolSpeed>()
  readonly #recordDecision: (decision: EndpointDecision) => void
  readonly #onChange: () => void
  readonly #onIncarnationEnded: (record: EndpointRecord) => void
  /** Until then a missing row may have expired during the store outage. */
  #recoveryUntilMs = -Infinity
  /** Results of {@link list} since the last change; null before they are asked for. */
  #listed: ListedEndpoints | null = null

  constructor (recordDecision: (decision: EndpointDecision) => void, onChange: () => void, onIncarnationEnded: (record: EndpointRecord) => void) {
    this.#recordDecision = recordDecision
    this.#onChange = onChange
    this.#onIncarnationEnded = onIncarnationEnded
  }

  /** Number of known endpoints. */
  get size (): number {
    return this.#records.size
  }

  /** Finds the record of an endpoint's current incarnation. */
  find (endpoint: EndpointName): EndpointRecord | undefined {
    return this.#records.get(endpoint)
  }

  /** Finds the record of an incarnation whose row is listed; null if the endpoint is gone, has started again, or is only kept for a while. */
  findIncarnation (incarnation: EndpointName): EndpointRecord | null {
    const record = this.#getListed().byIncarnation.get(incarnation)
    return record === undefined || record.keptUntilMs !== null ? null : record
  }

  /** Lists the endpoints of a pool, or all endpoints. */
  list (pool?: PoolName): readonly EndpointRecord[] {
    const { all, byPool } = this.#getListed()
    return pool === undefined ? all : byPool.get(pool) ?? []
  }

  /** Finds how fast the endpoints of a pool work at their usual speed; kept for as long as the process runs. */
  findPoolSpeed (pool: PoolName): PoolSpeed {
    const speed = this.#poolSpeeds.get(pool) ?? new PoolSpeed()
    this.#poolSpeeds.set(pool, speed)
    return speed
  }

  /** Lists the pools that have endpoints. */
  listPools (): PoolName[] {
    return [...this.#getListed().byPool.keys()]
  }

  /** Replaces the endpoints with a full read of the table, except those in `unreadable`, whose rows cannot be read; `storeBackForMs` is the time for which the store has answered again, in milliseconds, when it did not before; else null. */
  applySnapshot (entries: EndpointEntry[], unreadable: EndpointName[], storeBackForMs: number | null): void {
    if (storeBackForMs !== null) this.#recoveryUntilMs = performance.now() + RECOVERY_GRACE_MS - storeBackForMs
    const present = new Set([...unreadable, ...entries.map(entry => entry.endpoint)])
    for (const name of this.#records.keys()) if (!present.has(name)) this.#handleMissing(name)
    for (const name of unreadable) this.#handleUnreadable(name)
    for (const entry of entries) this.#upsert(entry)
    this.#onChange()
  }

  /** Applies rows that were added, changed or deleted, in order; what follows from them is done once for all. */
  applyChanges (changes: EndpointChange[]): void {
    for (const change of changes) {
      match(change)
        .with({ type: 'entry' }, ({ entry }) => this.#upsert(entry))
        .with({ type: 'deleted' }, ({ endpoint }) => this.#handleMissing(endpoint))
        .with({ type: 'unreadable' }, ({ endpoint }) => this.#handleUnreadable(endpoint))
        .exhaustive()
    }
    if (changes.length > 0) this.#onChange()
  }

  /** Removes the endpoints whose rows are still missing or unreadable after the grace period. */
  removeExpired (): void {
    const nowMs = performance.now()
    let isChanged = false
    for (const [name, { keptUntilMs }] of this.#records) {
      if (keptUntilMs === null || nowMs < keptUntilMs) continue
      this.#remove(name)
      isChanged = true
    }
    if (isChanged) this.#onChange()
  }

  #getListed (): ListedEndpoints {
    if (this.#listed !== null) return this.#listed
    const all = [...this.#records.values()]
    this.#listed = { all, byPool: groupBy(all, ({ entry }) => entry.pool), byIncarnation: new Map(all.map(record => [record.entry.incarnation, record])) }
    return this.#listed
  }

  #handleMissing (name: EndpointName): void {
    const record = this.#records.get(name)
    if (record === undefined) return
    if (performance.now() >= this.#recoveryUntilMs) return this.#remove(name)
    record.keptUntilMs = this.#recoveryUntilMs
  }

  #handleUnreadable (name: EndpointName): void {
    const record = this.#records.get(name)
    if (record === undefined || record.keptUntilMs !== null) return
    record.keptUntilMs = performance.now() + UNREADABLE_GRACE_MS
    this.#recordDecision({ type: 'endpointKept', endpoint: name, forMs: UNREADABLE_GRACE_MS })
  }

  #upsert (entry: EndpointEntry): void {
    const known = this.#records.get(entry.endpoint)
    if (known === undefined || known.entry.incarnation !== entry.incarnation) {
      this.#records.set(entry.endpoint, new EndpointRecord(entry, this.findPoolSpeed(entry.pool)))
      this.#listed = null
      this.#recordDecision({ type: 'endpointPresent', endpoint: entry.endpoint, pool: entry.pool, incarnation: entry.incarnation, softwareVersion: entry.softwareVersion, isDraining: entry.isDraining })
      if (known !== undefined) this.#onIncarnationEnded(known)
      return
    }
    if (entry.isDraining && !known.entry.isDraining) this.#recordDecision({ type: 'endpointLeaving', endpoint: entry.endpoint, pool: entry.pool })
    if (known.entry.pool !== entry.pool) this.#listed = null
    known.entry = entry
    known.keptUntilMs = null
  }

  #remove (name: EndpointName): void {
    const record = this.#records.get(name)
    this.#records.delete(name)
    this.#listed = null
    this.#recordDecision({ type: 'endpointGone', endpoint: name })
    if (record !== undefined) this.#onIncarnationEnded(record)
  }
}
