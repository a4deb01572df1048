import { CrashingPartDetector, DEFAULT_CRASHING_PART_OPTIONS, EndpointLifespans, RecentLosses, SuspectRegistry } from 'knapweedshunt-attempts'
import type { ClearedMark, PartEvidence, PartQuarantine, SuspectMark } from 'knapweedshunt-attempts'
import type { EndpointName } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { LossReason } from '../endpoints/attemptOutcome.ts'
import type { CrashedAttempt } from '../flow/crashedAttempt.ts'
import type { RequestPlan } from '../flow/requestPlan.ts'
import { formatFingerprint, formatParts } from '../flow/formatSuspects.ts'
import type { EndpointRecord } from '../endpoints/endpointRecord.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { GatewayMetrics } from '../records/gatewayMetrics.ts'
import type { ReceivedMark } from './crashMarks.ts'
import { CrashReviews } from './crashReviews.ts'
import { DirectorySurvivals } from './directorySurvivals.ts'
import type { Quarantine } from './quarantine.ts'
import type { ReceivedLift } from './quarantineLifts.ts'
import type { ReceivedPartEvidence } from './rosterRows.ts'
import { SUSPECT_OPTIONS } from './suspectOptions.ts'

/** Statuses from here on are no answer that an endpoint generated from the prompt. */
const MIN_UNGENERATED_STATUS = 300

/** Time for which cleared and quarantined parts are gathered before they are announced, in milliseconds. */
const ANNOUNCEMENT_DELAY_MS = 500

/** Interval at which the directory is compared with crashes, in milliseconds. */
const SURVIVAL_INTERVAL_MS = 500

/** Digits of a share of lost attempts in a log line. */
const LOST_SHARE_DIGITS = 3

/** Dependencies of {@link SuspectTracker}. */
export interface SuspectTrackerDependencies {
  metrics: GatewayMetrics
  decisionLog: DecisionLog
  /** Finds the record of an incarnation that the directory lists. */
  findIncarnation (incarnation: EndpointName): EndpointRecord | null
  /** Counts the endpoints of all pools. */
  countEndpoints (): number
  /** Probes an endpoint. */
  probe (record: EndpointRecord): void
  /** Tells the other VMs of a request that may crash endpoints, or of its clearing. */
  announceMark (mark: SuspectMark): void
  /** Withdraws what this VM has told the others of a request. */
  removeMark (fingerprint: string): void
  /** Tells the other VMs what {@link SuspectTracker.buildPartEvidence} returns. */
  announceParts (): void
}

/** Requests, and parts of prompts, that may crash endpoints: collects what this VM sees and what the others report, and decides which requests are quarantined. */
export class SuspectTracker {
  readonly #dependencies: SuspectTrackerDependencies
  readonly #lifespans = new EndpointLifespans()
  readonly #partDetector = new CrashingPartDetector(DEFAULT_CRASHING_PART_OPTIONS, this.#lifespans)
  readonly #losses: RecentLosses
  readonly #registry: SuspectRegistry
  readonly #reviews: CrashReviews
  readonly #survivals: DirectorySurvivals
  #survivalsDueAtMs = -Infinity
  #hasScheduledAnnouncement = false

  constructor (dependencies: SuspectTrackerDependencies) {
    this.#dependencies = dependencies
    const { metrics, decisionLog, findIncarnation, countEndpoints, probe } = dependencies
    this.#losses = new RecentLosses(countEndpoints)
    this.#registry = new SuspectRegistry(SUSPECT_OPTIONS, this.#lifespans, this.#losses)
    this.#reviews = new CrashReviews({ lifespans: this.#lifespans, losses: this.#losses, metrics, decisionLog })
    this.#survivals = new DirectorySurvivals({ lifespans: this.#lifespans, findIncarnation, probe })
  }

  /** Number of requests held as suspect, quarantined or recently cleared. */
  get requestCount (): number {
    return this.#registry.size
  }

  /** Number of quarantines of prompt parts in force. */
  get partQuarantineCount (): number {
    return this.#partDetector.quarantineCount
  }

  /** Returns why a request must not be sent; null if it may be. */
  findQuarantine ({ fingerprint, sharedParts }: Pick<RequestPlan, 'fingerprint' | 'sharedParts'>): Quarantine | null {
    const requestState = this.#registry.check(fingerprint)
    if (requestState.type === 'quarantined') return { detail: `the request ${formatFingerprint(fingerprint)} is quarantined: several endpoints crashed while running it${requestState.isDoubtful ? ', and others with them' : ''}`, retryAfterMs: requestState.retryAfterMs }
    const partState = this.#partDetector.check(sharedParts)
    if (partState.type === 'quarantined') return { detail: `prompts with ${formatParts(partState.parts)} are quarantined: several endpoints crashed while answering them`, retryAfterMs: partState.retryAfterMs }
    return null
  }

  /** Records that a request is sent to an endpoint. */
  recordSent ({ fingerprint }: Pick<RequestPlan, 'fingerprint'>): void {
    this.#registry.recordSent(fingerprint)
  }

  /** Records that bytes arrived from an endpoint on a connection that was established at a monotonic time. */
  recordReceived ({ entry }: EndpointRecord, openedAtMs: number): void {
    this.#lifespans.recordReceived(entry.incarnation, openedAtMs)
  }

  /** Withdraws the crashes of endpoints that have lived on, and logs what is known of the latest ones; `directoryAtMs` is the monotonic time as of which the endpoint table is confirmed. */
  review (directoryAtMs: number): void {
    this.#updateSurvivals(directoryAtMs)
    this.#reviews.review()
    for (const mark of this.#registry.takeSurvived()) this.#announceSurvived(mark)
    const { isAnnounced, quarantines } = this.#partDetector.dropSurvived()
    this.#recordQuarantines(quarantines, '')
    if (isAnnounced) this.#scheduleAnnouncement()
  }

  #updateSurvivals (directoryAtMs: number): void {
    const nowMs = performance.now()
    if (nowMs < this.#survivalsDueAtMs) return
    this.#survivalsDueAtMs = nowMs + SURVIVAL_INTERVAL_MS
    this.#survivals.update([...this.#registry.listOpen(), ...this.#partDetector.listOpen()], directoryAtMs)
  }

  /** Records that an endpoint may have crashed while it ran the request. */
  recordCrash (attempt: CrashedAttempt, evidence: LossReason): void {
    const { requestId, fingerprint, sharedParts, record, startedAtMs } = attempt
    const { metrics, decisionLog, announceMark, announceParts } = this.#dependencies
    const { endpoint, incarnation } = record.entry
    const mark = this.#registry.recordCrash(fingerprint, incarnation, startedAtMs)
    const quarantines = this.#partDetector.recordCrash(sharedParts, incarnation, startedAtMs)
    this.#reviews.add({ requestId, fingerprint, incarnation, startedAtMs, crashedAtMs: performance.now() })
    metrics.recordMark('recorded')
    decisionLog.record({ type: 'crashMarked', requestId, fingerprint: formatFingerprint(fingerprint), parts: formatParts(sharedParts), endpoint, incarnation, evidence, ...this.#describeSuspect(fingerprint) })
    this.#recordQuarantines(quarantines, '')
    announceMark(mark)
    if (sharedParts.length > 0) announceParts()
  }

  /** Clears a request that was answered, and the parts of its prompt if an endpoint generated the answer: neither crashes endpoints. */
  recordAnswered ({ call, fingerprint, sharedParts }: RequestPlan, record: EndpointRecord, startedAtMs: number, status: number): void {
    const { metrics, decisionLog, announceMark } = this.#dependencies
    const cleared = this.#registry.recordSuccess(fingerprint)
    if (cleared !== null) {
      metrics.recordMark('cleared')
      decisionLog.record({ type: 'suspectCleared', requestId: call.requestId, fingerprint: formatFingerprint(fingerprint) })
      announceMark(cleared)
    }
    this.#partDetector.recordAlive(record.entry.incarnation, startedAtMs)
    if (status >= MIN_UNGENERATED_STATUS) return
    const { parts, isAnnounced } = this.#partDetector.recordServed(sharedParts)
    if (parts.length > 0) decisionLog.record({ type: 'partsCleared', requestId: call.requestId, parts: formatParts(parts), isAnnounced })
    if (isAnnounced) this.#scheduleAnnouncement()
  }

  /** Builds what the other VMs must know about prompt parts. */
  buildPartEvidence (): PartEvidence {
    return this.#partDetector.buildEvidence()
  }

  /** Applies a mark of another VM. */
  applyMark ({ mark, from, ageMs }: ReceivedMark): void {
    const { metrics, decisionLog } = this.#dependencies
    this.#registry.applyMark(mark, ageMs)
    metrics.recordMark('applied')
    decisionLog.record({ type: 'markApplied', fingerprint: formatFingerprint(mark.fingerprint), mark: mark.type, from, ageMs, ...this.#describeSuspect(mark.fingerprint) })
  }

  /** Ends the quarantines that an operator has lifted. */
  applyLift ({ lift: { id, target, by, reason }, ageMs, liftedAtMs }: ReceivedLift): void {
    const { requests, parts } = match(target)
      .with({ type: 'request' }, ({ fingerprint }) => ({ requests: this.#liftRequests(fingerprint, liftedAtMs), parts: [] }))
      .with({ type: 'part' }, ({ part }) => ({ requests: [], parts: this.#liftPart(part, liftedAtMs) }))
      .exhaustive()
    this.#dependencies.decisionLog.record({ type: 'quarantineLifted', lift: id, target: target.type, name: target.type === 'request' ? formatFingerprint(target.fingerprint) : target.part, by, reason, ageMs, requests: requests.map(formatFingerprint).join(' '), quarantines: parts.map(quarantine => quarantine.id).join(' ') })
  }

  #liftRequests (fingerprintStart: string, liftedAtMs: number): string[] {
    const lifted = this.#registry.lift(fingerprintStart, liftedAtMs)
    for (const fingerprint of lifted) if (this.#registry.check(fingerprint).type === 'clear') this.#dependencies.removeMark(fingerprint)
    return lifted
  }

  #liftPart (part: string, liftedAtMs: number): PartQuarantine[] {
    const { quarantines, reportCount } = this.#partDetector.lift(part, liftedAtMs)
    if (quarantines.length > 0 || reportCount > 0) this.#dependencies.announceParts()
    return quarantines
  }

  /** Records that a mark fell out of this VM's full row. */
  handleMarkEvicted (mark: SuspectMark): void {
    this.#dependencies.metrics.recordMark('evicted')
    this.#dependencies.decisionLog.record({ type: 'markEvicted', fingerprint: formatFingerprint(mark.fingerprint), mark: mark.type })
  }

  /** Applies what another VM, or this one before its restart, knows about prompt parts. */
  applyPartEvidence ({ evidence, from, ageMs, isOwn }: ReceivedPartEvidence): void {
    const quarantines = this.#partDetector.applyEvidence(evidence, ageMs, isOwn)
    this.#recordQuarantines(quarantines, from)
    if (quarantines.some(quarantine => this.#partDetector.mustAnnounce(quarantine))) this.#scheduleAnnouncement()
  }

  #announceSurvived (mark: ClearedMark): void {
    const { fingerprint, crashIds } = mark
    this.#dependencies.decisionLog.record({ type: 'crashesSurvived', fingerprint: formatFingerprint(fingerprint), count: crashIds.length, ...this.#describeSuspect(fingerprint) })
    this.#dependencies.announceMark(mark)
  }

  /** Announces what is learnt of parts within a short time together. */
  #scheduleAnnouncement (): void {
    if (this.#hasScheduledAnnouncement) return
    this.#hasScheduledAnnouncement = true
    setTimeout(() => {
      this.#hasScheduledAnnouncement = false
      this.#dependencies.announceParts()
    }, ANNOUNCEMENT_DELAY_MS).unref()
  }

  #recordQuarantines (quarantines: PartQuarantine[], from: string): void {
    for (const { id, parts, crashCount, lostShare, untilMs } of quarantines) {
      this.#dependencies.metrics.recordPartQuarantine()
      this.#dependencies.decisionLog.record({ type: 'partsQuarantined', quarantine: id, parts: formatParts(parts), crashes: crashCount, lostShare: Number(lostShare.toFixed(LOST_SHARE_DIGITS)), from, forMs: Math.round(untilMs - performance.now()) })
    }
  }

  #describeSuspect (fingerprint: string): { crashes: number, isQuarantined: boolean } {
    return { crashes: this.#registry.countCrashes(fingerprint), isQuarantined: this.#registry.check(fingerprint).type === 'quarantined' }
  }
}
