import { MAX_IN_FLIGHT_MS } from 'knapweedshunt-attempts'
import type { EndpointLifespans } from 'knapweedshunt-attempts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { CrashedAttempt } from '../flow/crashedAttempt.ts'

/** Time within which the directory shows that an endpoint has started again, in milliseconds: two heartbeats. */
const DIRECTORY_DELAY_MS = 2_500

/** Time without an answer after which an endpoint is probed if the answer is needed, and between two probes, in milliseconds. */
const PROBE_INTERVAL_MS = 1_000

/** Time for which a lost connection is held, in milliseconds. */
const KEEP_MS = 30_000

/** Maximum number of lost connections held; the oldest are dropped first. */
const MAX_LOST = 1_000

/** A connection on which an attempt was lost. Monotonic times, in milliseconds. */
interface LostConnection {
  attempt: CrashedAttempt
  lostAtMs: number
  probedAtMs: number
  /** Monotonic time of an answer of the endpoint after the loss; null before one. */
  answeredAtMs: number | null
}

/** Dependencies of {@link DirectorySurvivals}. */
export interface DirectorySurvivalsDependencies {
  lifespans: EndpointLifespans
  /** Whether the record's incarnation of its endpoint is still listed. */
  isCurrent (record: EndpointRecord): boolean
  /** Whether the request of the attempt is refused for its crashes. */
  isRefused (attempt: CrashedAttempt): boolean
  /** Probes an endpoint. */
  probe (record: EndpointRecord): void
}

/** Finds endpoints that have lived on after they ended a connection: one that answers afterwards, and that the directory still lists with the same start when it would list another, is the process of before. */
export class DirectorySurvivals {
  readonly #dependencies: DirectorySurvivalsDependencies
  #lost: LostConnection[] = []

  constructor (dependencies: DirectorySurvivalsDependencies) {
    this.#dependencies = dependencies
  }

  /** Adds the connection of an attempt that was lost now. */
  add (attempt: CrashedAttempt): void {
    const nowMs = performance.now()
    this.#lost = [...this.#lost, { attempt, lostAtMs: nowMs, probedAtMs: nowMs, answeredAtMs: null }].slice(-MAX_LOST)
  }

  /** Looks at the answers since; `directoryAtMs` is the monotonic time as of which the endpoint table is confirmed. */
  update (directoryAtMs: number): void {
    const oldestMs = performance.now() - KEEP_MS
    this.#lost = this.#lost.filter(lost => lost.lostAtMs >= oldestMs && this.#dependencies.isCurrent(lost.attempt.record) && !this.#isSettled(lost, directoryAtMs))
  }

  #isSettled (lost: LostConnection, directoryAtMs: number): boolean {
    const { lostAtMs, attempt: { record, startedAtMs } } = lost
    lost.answeredAtMs ??= findAnswerAfter(record, lostAtMs)
    if (lost.answeredAtMs === null) this.#probeIfNeeded(lost)
    if (lost.answeredAtMs === null || directoryAtMs < lost.answeredAtMs + DIRECTORY_DELAY_MS) return false
    this.#dependencies.lifespans.recordAlive(record.entry.incarnation, startedAtMs, lostAtMs)
    return true
  }

  #probeIfNeeded (lost: LostConnection): void {
    const nowMs = performance.now()
    if (nowMs - lost.probedAtMs < PROBE_INTERVAL_MS || !this.#dependencies.isRefused(lost.attempt)) return
    lost.probedAtMs = nowMs
    this.#dependencies.probe(lost.attempt.record)
  }
}

/** Returns the time of an answer that the endpoint's process gave after a monotonic time; null if there is none. Bytes of other connections may have been sent before. */
function findAnswerAfter ({ answeredAtMs, answeredProbeAtMs }: EndpointRecord, lostAtMs: number): number | null {
  return answeredProbeAtMs > lostAtMs || answeredAtMs > lostAtMs + MAX_IN_FLIGHT_MS ? answeredAtMs : null
}
