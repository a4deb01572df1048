import { MAX_IN_FLIGHT_MS } from 'knapweedshunt-attempts'
import type { EndpointLifespans } from 'knapweedshunt-attempts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'

/** Time within which the directory shows that an endpoint has started again, in milliseconds: two heartbeats. */
const DIRECTORY_DELAY_MS = 2_500

/** Time for which a lost connection is held, in milliseconds. */
const KEEP_MS = 30_000

/** Maximum number of lost connections held; the oldest are dropped first. */
const MAX_LOST = 1_000

interface LostConnection {
  record: EndpointRecord
  startedAtMs: number
  lostAtMs: number
  /** Monotonic time of an answer of the endpoint after the loss; null before one. */
  answeredAtMs: number | null
}

/** Dependencies of {@link DirectorySurvivals}. */
export interface DirectorySurvivalsDependencies {
  lifespans: EndpointLifespans
  /** Whether the record's incarnation of its endpoint is still listed. */
  isCurrent (record: EndpointRecord): boolean
}

/** Finds endpoints that have lived on after they ended a connection: one that answers afterwards, and that the directory still lists with the same start when it would list another, is the process of before. */
export class DirectorySurvivals {
  readonly #dependencies: DirectorySurvivalsDependencies
  #lost: LostConnection[] = []

  constructor (dependencies: DirectorySurvivalsDependencies) {
    this.#dependencies = dependencies
  }

  /** Adds a connection on which an attempt that started at `startedAtMs` was lost now. */
  add (record: EndpointRecord, startedAtMs: number): void {
    this.#lost = [...this.#lost, { record, startedAtMs, lostAtMs: performance.now(), answeredAtMs: null }].slice(-MAX_LOST)
  }

  /** Looks at the answers since; `directoryAtMs` is the monotonic time as of which the endpoint table is confirmed. */
  update (directoryAtMs: number): void {
    const oldestMs = performance.now() - KEEP_MS
    this.#lost = this.#lost.filter(lost => lost.lostAtMs >= oldestMs && this.#dependencies.isCurrent(lost.record) && !this.#isSettled(lost, directoryAtMs))
  }

  #isSettled (lost: LostConnection, directoryAtMs: number): boolean {
    const { record, startedAtMs, lostAtMs } = lost
    if (lost.answeredAtMs === null && record.answeredAtMs > lostAtMs + MAX_IN_FLIGHT_MS) lost.answeredAtMs = record.answeredAtMs
    if (lost.answeredAtMs === null || directoryAtMs < lost.answeredAtMs + DIRECTORY_DELAY_MS) return false
    this.#dependencies.lifespans.recordAlive(record.entry.incarnation, startedAtMs, lostAtMs)
    return true
  }
}
