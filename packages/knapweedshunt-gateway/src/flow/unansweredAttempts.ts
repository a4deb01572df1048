import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { CrashedAttempt } from './crashedAttempt.ts'

/** Time after an attempt within which the directory shows that its endpoint has crashed, in milliseconds: several heartbeats and a restart. */
const EVIDENCE_TIMEOUT_MS = 10_000

/** Maximum number of attempts held; the oldest are dropped first. */
const MAX_ATTEMPTS = 10_000

interface UnansweredAttempt {
  attempt: CrashedAttempt
  endedAtMs: number
}

/** Dependencies of {@link UnansweredAttempts}. */
export interface UnansweredAttemptsDependencies {
  /** Whether the record's incarnation of its endpoint is still listed. */
  isCurrent (record: EndpointRecord): boolean
  recordCrash (attempt: CrashedAttempt): void
}

/**
 * Attempts that this VM gave up without an answer: silent endpoints, callers that left, deadlines. The connection does not
 * show whether the endpoint crashed under them; the end of its incarnation does.
 */
export class UnansweredAttempts {
  readonly #dependencies: UnansweredAttemptsDependencies
  #attempts: UnansweredAttempt[] = []

  constructor (dependencies: UnansweredAttemptsDependencies) {
    this.#dependencies = dependencies
  }

  /** Records an attempt that was given up; it counts as crashed at once when its endpoint's incarnation has ended already. */
  recordEnd (attempt: CrashedAttempt): void {
    if (attempt.record.isDraining) return
    if (!this.#dependencies.isCurrent(attempt.record)) return this.#dependencies.recordCrash(attempt)
    this.#attempts.push({ attempt, endedAtMs: performance.now() })
    this.#dropExpired()
  }

  /** Counts the attempts on an incarnation that has ended as crashed, unless the endpoint had announced that it leaves. */
  handleIncarnationEnded (record: EndpointRecord): void {
    this.#dropExpired()
    const affected = this.#attempts.filter(({ attempt }) => attempt.record === record)
    if (affected.length === 0) return
    this.#attempts = this.#attempts.filter(({ attempt }) => attempt.record !== record)
    if (record.isDraining) return
    for (const { attempt } of affected) this.#dependencies.recordCrash(attempt)
  }

  #dropExpired (): void {
    const oldestMs = performance.now() - EVIDENCE_TIMEOUT_MS
    const firstKept = this.#attempts.findIndex(({ endedAtMs }) => endedAtMs >= oldestMs)
    const expiredCount = firstKept === -1 ? this.#attempts.length : firstKept
    this.#attempts.splice(0, Math.max(expiredCount, this.#attempts.length - MAX_ATTEMPTS))
  }
}
