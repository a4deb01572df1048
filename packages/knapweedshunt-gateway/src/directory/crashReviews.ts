import { computeOwnEndPeriod, hasSurvived } from 'knapweedshunt-attempts'
import type { EndpointLifespans, RecentLosses } from 'knapweedshunt-attempts'
import type { EndpointName, RequestId } from 'knapweedshunt-types'
import { formatFingerprint } from '../flow/formatSuspects.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'

/** Time after a crash at which it is reviewed, in milliseconds: bytes that other connections still bring have arrived by then. */
const REVIEW_DELAY_MS = 500

/** Maximum number of crashes that wait for their review; the oldest are dropped first. */
const MAX_WAITING = 1_000

/** A crash of this VM that was marked. Monotonic times, in milliseconds. */
export interface MarkedAttempt {
  requestId: RequestId
  fingerprint: string
  /** Incarnation of the endpoint. */
  incarnation: EndpointName
  startedAtMs: number
  crashedAtMs: number
}

/** Dependencies of {@link CrashReviews}. */
export interface CrashReviewsDependencies {
  lifespans: EndpointLifespans
  losses: RecentLosses
  metrics: GatewayMetrics
  decisionLog: DecisionLog
}

/** Logs, a while after each crash that was marked, whether the endpoint lived on and what else was lost. */
export class CrashReviews {
  readonly #dependencies: CrashReviewsDependencies
  #waiting: MarkedAttempt[] = []

  constructor (dependencies: CrashReviewsDependencies) {
    this.#dependencies = dependencies
  }

  /** Adds a crash that was marked now. */
  add (marked: MarkedAttempt): void {
    this.#waiting = [...this.#waiting, marked].slice(-MAX_WAITING)
  }

  /** Reviews the crashes that are old enough. */
  review (): void {
    const dueAtMs = performance.now() - REVIEW_DELAY_MS
    const due = this.#waiting.filter(({ crashedAtMs }) => crashedAtMs <= dueAtMs)
    if (due.length === 0) return
    this.#waiting = this.#waiting.filter(({ crashedAtMs }) => crashedAtMs > dueAtMs)
    for (const marked of due) this.#reviewOne(marked)
  }

  #reviewOne ({ requestId, fingerprint, incarnation, startedAtMs, crashedAtMs }: MarkedAttempt): void {
    const { lifespans, losses, metrics, decisionLog } = this.#dependencies
    const hasLivedOn = hasSurvived(lifespans, incarnation, computeOwnEndPeriod(startedAtMs, crashedAtMs))
    const coincidentCount = losses.countCoincident(crashedAtMs, new Set([incarnation]))
    if (hasLivedOn) metrics.recordMark('livedOn')
    decisionLog.record({ type: 'crashReviewed', requestId, fingerprint: formatFingerprint(fingerprint), incarnation, hasLivedOn, coincident: coincidentCount })
  }
}
