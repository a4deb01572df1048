import type { EndpointName } from 'knapweedshunt-types'
import { createIncarnation } from 'knapweedshunt-utils'
import type { CrashingPartOptions } from './crashingPartOptions.ts'
import { DEFAULT_CRASHING_PART_OPTIONS } from './crashingPartOptions.ts'
import type { CrashReport } from './crashReport.ts'
import { CrashReportIndex } from './crashReportIndex.ts'
import type { ClearedParts } from './clearedParts.ts'
import type { LiftedPart } from './liftedPart.ts'
import { PartClearings } from './partClearings.ts'
import { EndpointLifespans } from './endpointLifespans.ts'
import { encodePartEvidence } from './encodePartEvidence.ts'
import { EndpointLiveness } from './endpointLiveness.ts'
import type { HeldCrash, OpenCrash } from './heldCrash.ts'
import { computeOwnEndPeriod, computeReportedEndPeriod, hasSurvived } from './endPeriod.ts'
import { LiftTimes } from './liftTimes.ts'
import type { PartEvidence } from './partEvidence.ts'
import { MAX_PUBLISHED } from './partEvidence.ts'
import { parseQuarantinedCrash } from './parseQuarantinedCrash.ts'
import type { PartQuarantine } from './partQuarantine.ts'
import { PartQuarantineTable } from './partQuarantineTable.ts'
import { RecentOutcomes } from './recentOutcomes.ts'
import { summarizeCrashes } from './summarizeCrashes.ts'

/** Whether a request may be sent, by the shared parts of its prompt. */
export type PartCheck =
  | { type: 'clear' }
  | { type: 'quarantined', parts: string[], retryAfterMs: number }

/**
 * Finds parts of prompts that crash every endpoint which begins an answer on them. Each crash is reported with the parts
 * of the attempts that it ended; a part with which a request is served is no longer suspect. A part is quarantined when
 * it was lost in more crashes, one after the other, than attempts without it make likely.
 */
export class CrashingPartDetector {
  readonly #options: CrashingPartOptions
  readonly #outcomes: RecentOutcomes
  readonly #reports: CrashReportIndex
  readonly #clearings = new PartClearings()
  readonly #liveness = new EndpointLiveness()
  readonly #liftTimes = new LiftTimes()
  /** Monotonic time from which on this VM can tell which parts were served. */
  readonly #startedAtMs = performance.now()
  readonly #quarantines = new PartQuarantineTable()
  /** Whether a quarantine was withdrawn that the other VMs may hold. */
  #hasWithdrawn = false
  readonly #lifespans: EndpointLifespans
  /** Makes ids unique among all VMs. */
  readonly #idPrefix = createIncarnation()
  #idCount = 0

  constructor (options: CrashingPartOptions = DEFAULT_CRASHING_PART_OPTIONS, lifespans = new EndpointLifespans()) {
    this.#options = options
    this.#lifespans = lifespans
    this.#outcomes = new RecentOutcomes(options.reportMs)
    this.#reports = new CrashReportIndex(options.maxReports)
  }

  /** Number of quarantines in force. */
  get quarantineCount (): number {
    return this.#quarantines.list().length
  }

  /** Returns whether a request with these shared parts may be sent. */
  check (parts: readonly string[]): PartCheck {
    const quarantines = this.#quarantines.list()
    if (quarantines.length === 0) return { type: 'clear' }
    const held = new Set(parts)
    const matching = quarantines.filter(quarantine => [...quarantine.parts].every(part => held.has(part)))
    if (matching.length === 0) return { type: 'clear' }
    const last = matching.reduce((latest, quarantine) => quarantine.untilMs > latest.untilMs ? quarantine : latest)
    return { type: 'quarantined', parts: [...last.parts], retryAfterMs: last.untilMs - performance.now() }
  }

  /** Records an attempt under which its endpoint crashed. Returns the quarantines that follow. */
  recordCrash (parts: readonly string[], endpoint: EndpointName, startedAtMs: number): PartQuarantine[] {
    if (parts.length === 0) return []
    const suspectParts = new Map(parts.map(part => [part, this.#estimateLostShare(part, endpoint)]))
    this.#outcomes.record(parts, endpoint)
    const crashedAtMs = performance.now()
    this.#addReport({ id: this.#createId(), endpoint, startedAtMs, crashedAtMs, endPeriod: computeOwnEndPeriod(startedAtMs, crashedAtMs), suspectParts, isOwn: true })
    return this.#quarantineSuspects(new Set(suspectParts.keys()))
  }

  /** Records that an incarnation of an endpoint answered an attempt, so that it had not crashed before. */
  recordAlive (endpoint: EndpointName, startedAtMs: number): void {
    this.#liveness.recordServed(endpoint, startedAtMs)
  }

  /** Lists the crashes that count as long as their endpoints are not known to have lived on. */
  listOpen (): OpenCrash[] {
    const reported = this.#reports.list().map(crash => ({ crash, isRefused: () => this.check([...crash.suspectParts.keys()]).type === 'quarantined' }))
    return [...reported, ...this.#quarantines.list().flatMap(({ crashes }) => crashes.map(crash => ({ crash, isRefused: () => true })))]
  }

  /** Drops the crashes of endpoints that have lived on. Returns whether the other VMs must hear of it, and the quarantines that follow from what is left. */
  dropSurvived (): { isAnnounced: boolean, quarantines: PartQuarantine[] } {
    const hasLivedOn = ({ endpoint, endPeriod }: HeldCrash) => hasSurvived(this.#lifespans, endpoint, endPeriod)
    const survived = this.#reports.list().filter(hasLivedOn)
    const parts = [
      ...survived.flatMap(({ id, suspectParts }) => [...suspectParts.keys()].map(part => ({ id, part }))),
      ...this.#quarantines.list().flatMap(quarantine => quarantine.crashes.filter(hasLivedOn).flatMap(({ id }) => [...quarantine.parts].map(part => ({ id, part }))))
    ]
    const quarantines = parts.flatMap(({ id, part }) => {
      this.#clearings.recordOwn(part, [id])
      this.#reports.clearPart(id, part)
      return this.#reconsider(id, part)
    })
    const isAnnounced = this.#hasWithdrawn || quarantines.length > 0 || survived.some(({ isOwn }) => isOwn)
    this.#hasWithdrawn = false
    return { isAnnounced, quarantines }
  }

  /** Records that an endpoint served a request with these shared parts completely. */
  recordServed (parts: readonly string[]): ClearedParts {
    if (parts.length > 0) this.#outcomes.record(parts, null)
    const cleared = parts.map(part => this.#clearServed(part)).filter(result => result !== null)
    return { parts: cleared.map(({ part }) => part), isAnnounced: cleared.some(({ isAnnounced }) => isAnnounced) }
  }

  /**
   * Ends the quarantines with a part whose first crash was up to a monotonic time; crashes until then no longer count
   * against it, nor against the parts that were lost with it, whenever their reports arrive. Returns what was lifted.
   */
  lift (part: string, liftedAtMs: number): LiftedPart {
    this.#liftTimes.record(part, liftedAtMs)
    const reports = this.#reports.listByPart(part).filter(({ crashedAtMs }) => crashedAtMs <= liftedAtMs)
    for (const { id } of reports) this.#reports.retainParts(id, new Set())
    const quarantines = this.#quarantines.list().filter(({ parts, firstCrashAtMs }) => parts.has(part) && firstCrashAtMs <= liftedAtMs)
    for (const { id } of quarantines) this.#quarantines.remove(id)
    return { quarantines, reportCount: reports.length }
  }

  /** Builds what the other VMs must know: this VM's reports and clearings, and all quarantines. */
  buildEvidence (): PartEvidence {
    this.#removeExpiredReports()
    return encodePartEvidence(this.#reports.listOwn(), this.#quarantines.list(), this.#clearings.listOwn())
  }

  /**
   * Applies the evidence of another VM, written `ageMs` ago. With `isOwn`, this VM wrote it before its restart and
   * publishes its reports again. Returns the quarantines that are new here.
   */
  applyEvidence (evidence: PartEvidence, ageMs: number, isOwn = false): PartQuarantine[] {
    const nowMs = performance.now()
    const reconsidered = evidence.clearings.flatMap(({ part, ids }) => ids.flatMap(id => this.#applyClearing(part, id)))
    const learnt = evidence.quarantines.flatMap(({ id, parts, crashCount, lostShare, crashes, firstCrashAgeMs, forMs }) => {
      const firstCrashAtMs = nowMs - firstCrashAgeMs - ageMs
      for (const part of parts) if (this.#outcomes.hasServedAfter(part, firstCrashAtMs)) this.#clearings.recordRefuted(part, id)
      return this.#addQuarantine({ id, parts: new Set(parts), crashCount, lostShare, crashes: crashes.map(crash => parseQuarantinedCrash(crash, nowMs - ageMs)), firstCrashAtMs, untilMs: nowMs + Math.min(forMs - ageMs, this.#options.quarantineMs) })
    })
    const suspects = new Set<string>()
    for (const { id, endpoint, startedAgeMs, crashedAgeMs, lostShares } of evidence.reports) {
      const suspectParts = new Map(Object.entries(lostShares))
      // A list of the maximum length may have been cut off.
      if (suspectParts.size < MAX_PUBLISHED.parts) this.#reports.retainParts(id, new Set(suspectParts.keys()))
      if (this.#reports.has(id) || crashedAgeMs + ageMs >= this.#options.reportMs) continue
      this.#addReport({ id, endpoint, startedAtMs: nowMs - startedAgeMs - ageMs, crashedAtMs: nowMs - crashedAgeMs - ageMs, endPeriod: computeReportedEndPeriod(nowMs - startedAgeMs - ageMs), suspectParts, isOwn })
      for (const part of suspectParts.keys()) suspects.add(part)
    }
    return [...reconsidered, ...learnt, ...this.#quarantineSuspects(suspects)]
  }

  /** Whether the other VMs must hear of a quarantine: this VM found it, and recorded one of its crashes, as only some of those do that find it. */
  mustAnnounce ({ id, crashes }: PartQuarantine): boolean {
    return id.startsWith(this.#idPrefix) && crashes.some(crash => crash.id.startsWith(this.#idPrefix))
  }

  #createId (): string {
    return `${this.#idPrefix}-${++this.#idCount}`
  }

  #addReport (report: CrashReport): void {
    this.#removeExpiredReports()
    if (this.#isLifted(report.suspectParts.keys(), report.crashedAtMs)) return
    this.#removeClearedParts(report.id, report.suspectParts, report.crashedAtMs)
    this.#reports.add(report)
  }

  /** Whether one of the parts was lifted after a crash. */
  #isLifted (parts: Iterable<string>, crashedAtMs: number): boolean {
    return [...parts].some(part => crashedAtMs <= this.#liftTimes.find(part))
  }

  /** Removes the parts that were cleared at another VM, or with which a request of this VM was served after the crash. */
  #removeClearedParts (id: string, parts: Set<string> | Map<string, number>, crashedAtMs: number): void {
    for (const part of parts.keys()) if (this.#clearings.isCleared(part, id) || this.#outcomes.hasServedAfter(part, crashedAtMs)) parts.delete(part)
  }

  /** Estimates the share of attempts without a part that this VM lost lately; `endpoint` is the one that crashes now. */
  #estimateLostShare (part: string, endpoint: EndpointName): number {
    const crashedEndpoints = new Set([endpoint, ...this.#reports.listByPart(part).map(report => report.endpoint)])
    return this.#outcomes.estimateLostShareWithout(part, crashedEndpoints, performance.now() - this.#options.lostShareWindowMs)
  }

  #quarantineSuspects (parts: ReadonlySet<string>): PartQuarantine[] {
    return [...parts].flatMap(part => this.#quarantineIfLikely(part))
  }

  /** Quarantines a part, with those that were there in each of its crashes, if the crashes are unlikely to be chance. */
  #quarantineIfLikely (part: string): PartQuarantine[] {
    const { minCrashes, minDoubtfulCrashes } = this.#options
    const reports = this.#reports.listByPart(part).filter(report => report.crashedAtMs >= this.#startedAtMs && !this.#isExplained(report, part))
    const certain = reports.filter(({ endpoint, crashedAtMs }) => !this.#liveness.isAliveAfter(endpoint, crashedAtMs))
    const isInUse = this.#outcomes.hasServedAfter(part, -Infinity)
    const found = this.#findQuarantine(part, certain, isInUse ? minDoubtfulCrashes : minCrashes) ?? this.#findQuarantine(part, reports, minDoubtfulCrashes)
    return found === null ? [] : this.#addQuarantine(found)
  }

  /** Withdraws the quarantines of a part that follow from a report which no longer counts, unless what is left suffices. */
  #reconsider (reportId: string, part: string): PartQuarantine[] {
    const withdrawn = this.#quarantines.removeByCrash(reportId, part)
    if (withdrawn.length === 0) return []
    for (const { id, parts } of withdrawn) for (const one of parts) this.#clearings.recordOwn(one, [id])
    // The VMs that learnt of a quarantine withdraw it by themselves.
    this.#hasWithdrawn ||= withdrawn.some(({ id }) => id.startsWith(this.#idPrefix))
    return this.#quarantineIfLikely(part)
  }

  /** Finds the quarantine that follows from these reports; null if they are too few or may be chance. */
  #findQuarantine (part: string, reports: readonly CrashReport[], minCrashes: number): PartQuarantine | null {
    if (reports.length < minCrashes) return null
    const { maxChance, minUncertainShare, quarantineMs, uncertainQuarantineMs } = this.#options
    const { sequentialCount, firstCrashAtMs, endpoints, lostShare, commonParts } = summarizeCrashes(part, reports)
    const baselineShare = Math.max(lostShare, this.#outcomes.estimateLostShareWithout(part, endpoints, firstCrashAtMs))
    if (sequentialCount < minCrashes || baselineShare ** sequentialCount > maxChance) return null
    const durationMs = baselineShare < minUncertainShare ? quarantineMs : uncertainQuarantineMs
    return { id: this.#createId(), parts: commonParts, crashCount: sequentialCount, lostShare: baselineShare, crashes: reports.map(({ id, endpoint, endPeriod, startedAtMs }) => ({ id, endpoint, endPeriod, startedAtMs })), firstCrashAtMs, untilMs: performance.now() + durationMs }
  }

  /** Whether a quarantine of other parts accounts for the crash. */
  #isExplained ({ suspectParts }: CrashReport, part: string): boolean {
    return this.#quarantines.list().some(({ parts }) => !parts.has(part) && [...parts].every(other => suspectParts.has(other)))
  }

  /** Adds a quarantine unless one in force covers it; returns it if it was added. */
  #addQuarantine (quarantine: PartQuarantine): PartQuarantine[] {
    const { id, parts, crashes, firstCrashAtMs, untilMs } = quarantine
    if (this.#quarantines.has(id) || this.#isLifted(parts, firstCrashAtMs)) return []
    if (crashes.some(crash => [...parts].some(part => this.#clearings.isCleared(part, crash.id)))) return []
    this.#removeClearedParts(id, parts, firstCrashAtMs)
    const known = this.#quarantines.list()
    const isCovered = known.some(other => other.untilMs >= untilMs && [...other.parts].every(part => parts.has(part)))
    if (isCovered || parts.size === 0 || untilMs <= performance.now()) return []
    this.#quarantines.add(quarantine)
    return [quarantine]
  }

  /** Clears a part that was served now; null if it was not suspect. */
  #clearServed (part: string): { part: string, isAnnounced: boolean } | null {
    const reports = this.#reports.listByPart(part)
    const quarantines = this.#quarantines.list().filter(quarantine => quarantine.parts.has(part))
    const refutedIds = this.#clearings.takeRefuted(part)
    if (reports.length === 0 && quarantines.length === 0 && refutedIds.length === 0) return null
    const ids = [...[...reports, ...quarantines].map(({ id }) => id), ...refutedIds]
    const mustAnnounce = this.#clearings.recordOwn(part, ids)
    const isPublished = refutedIds.length > 0 || quarantines.length > 0 || reports.some(report => report.isOwn)
    for (const id of ids) this.#clearPart(id, part)
    return { part, isAnnounced: mustAnnounce || isPublished }
  }

  #applyClearing (part: string, id: string): PartQuarantine[] {
    this.#clearings.recordReceived(part, id)
    this.#clearPart(id, part)
    return this.#reconsider(id, part)
  }

  /** Removes a part from a report or a quarantine, which holds as long as one of its parts may be the cause. */
  #clearPart (id: string, part: string): void {
    this.#reports.clearPart(id, part)
    this.#quarantines.clearPart(id, part)
  }

  #removeExpiredReports (): void {
    const oldestMs = performance.now() - this.#options.reportMs
    this.#reports.removeBefore(oldestMs)
    this.#clearings.removeBefore(oldestMs)
  }
}
