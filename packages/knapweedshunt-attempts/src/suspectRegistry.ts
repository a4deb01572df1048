import type { EndpointName, OrganisationName } from 'knapweedshunt-types'
import { createIncarnation, hashText } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import { EndpointLifespans } from './endpointLifespans.ts'
import { hasSurvived } from './endPeriod.ts'
import type { OpenCrash } from './heldCrash.ts'
import { LiftTimes } from './liftTimes.ts'
import { RecentLosses } from './recentLosses.ts'
import { hasOtherCause, hasAllLosses } from './suspectDoubt.ts'
import type { DoubtOptions } from './suspectDoubt.ts'
import { addCrash, buildCrashedMark, buildQuarantinedMark, createOwnCrash, createSuspectEntry, findFirstOfLatest, listCounted, liftSuspectEntry, parseMarkedCrash, retainLatestCrashes, settleCrashes } from './suspectEntry.ts'
import type { Crash, SuspectEntry } from './suspectEntry.ts'
import type { ClearedMark, SuspectMark } from './suspectMark.ts'

/** Options of the suspect registry. */
export interface SuspectOptions {
  /** Number of crashes after which a request is quarantined. */
  maxCrashes: number
  /** Time for which a request stays suspect after a crash or a quarantine, in milliseconds. */
  suspectMs: number
  /** Time for which a quarantined request is refused, in milliseconds. */
  quarantineMs: number
  /** Maximum number of requests held; the least recently reported are evicted first. */
  maxEntries: number
  /** What follows if the crashes may have another cause; null to quarantine all the same. */
  doubt: DoubtOptions | null
}

/** Quarantines a request for ten minutes after two crashes. */
export const DEFAULT_SUSPECT_OPTIONS: SuspectOptions = { maxCrashes: 2, suspectMs: 600_000, quarantineMs: 600_000, maxEntries: 10_000, doubt: null }

/** Hexadecimal digits of the hash by which VMs wait for different times. */
const SPREAD_HASH_DIGITS = 8

/** Whether and how a request may run. */
export type SuspectState =
  | { type: 'clear' }
  /** Must run without other requests on its endpoint. */
  | { type: 'suspect' }
  /** `isDoubtful` if the crashes may have another cause, so that the request is tried again soon. */
  | { type: 'quarantined', retryAfterMs: number, isDoubtful: boolean }

/** Identifies a request: the same for each repetition by its caller, different for different organisations. */
export function computeFingerprint (organisation: OrganisationName, digest: string): string {
  return hashText(organisation, digest)
}

/**
 * Requests that were in flight when an endpoint crashed, as seen by this router or reported by a peer. A request is
 * quarantined as long as enough crashes count against it; one success shows that it does not crash endpoints.
 */
export class SuspectRegistry {
  readonly #options: SuspectOptions
  readonly #entries = new Map<string, SuspectEntry>()
  /** Makes the crash ids of this registry unique among all VMs. */
  readonly #idPrefix = createIncarnation()
  #crashCount = 0
  readonly #liftTimes = new LiftTimes()
  readonly #lifespans: EndpointLifespans
  /** Requests under which this VM saw a crash lately, by the time of the latest one. */
  readonly #crashedLately = new Map<string, number>()

  readonly #losses: RecentLosses

  constructor (options: SuspectOptions = DEFAULT_SUSPECT_OPTIONS, lifespans = new EndpointLifespans(), losses = new RecentLosses()) {
    this.#options = options
    this.#lifespans = lifespans
    this.#losses = losses
  }

  /** Number of requests held. */
  get size (): number {
    return this.#entries.size
  }

  /** Records the crash of an endpoint during an attempt that started at `startedAtMs`. Returns the mark to send to peers. */
  recordCrash (fingerprint: string, endpoint: EndpointName, startedAtMs: number): SuspectMark {
    const nowMs = performance.now()
    const crash = createOwnCrash(`${this.#idPrefix}-${++this.#crashCount}`, endpoint, startedAtMs, nowMs)
    this.#crashedLately.set(fingerprint, nowMs)
    return this.#buildMark(fingerprint, this.#addCrash(fingerprint, crash, nowMs), nowMs)
  }

  /** Lists the crashes that count as long as their endpoints are not known to have lived on. */
  listOpen (): OpenCrash[] {
    const open: OpenCrash[] = []
    for (const [fingerprint, entry] of this.#entries) {
      if (entry.crashes.length === 0) continue
      this.#checkSurvival(entry)
      const isRefused = () => this.check(fingerprint).type === 'quarantined'
      for (const crash of listCounted(entry)) open.push({ crash, isRefused })
    }
    return open
  }

  /** Returns the marks that tell peers which of the crashes that this VM saw were none, as the endpoints lived on; each once. */
  takeSurvived (): ClearedMark[] {
    const oldestMs = performance.now() - this.#options.suspectMs
    return [...this.#crashedLately].flatMap(([fingerprint, crashedAtMs]) => {
      if (crashedAtMs < oldestMs) this.#crashedLately.delete(fingerprint)
      const entry = this.#entries.get(fingerprint)
      if (entry === undefined || entry.crashes.length === 0) {
        this.#crashedLately.delete(fingerprint)
        return []
      }
      this.#checkSurvival(entry)
      const crashIds = entry.crashes.flatMap(({ ids, isOwn, hasLivedOn }) => isOwn && hasLivedOn ? [...ids] : [])
      settleCrashes(entry, crashIds)
      return crashIds.length === 0 ? [] : [{ type: 'cleared', fingerprint, crashIds }]
    })
  }

  /** Returns the marks of all requests held, for a peer that starts without any. */
  listMarks (): SuspectMark[] {
    const nowMs = performance.now()
    return [...this.#entries].flatMap(([fingerprint, entry]) => this.check(fingerprint).type === 'clear' ? [] : [this.#buildMark(fingerprint, entry, nowMs)])
  }

  /** Records that the request is sent. While its crashes may have another cause, one attempt at a time shows whether it crashes endpoints. */
  recordSent (fingerprint: string): void {
    const { doubt, maxCrashes } = this.#options
    const entry = this.#entries.get(fingerprint)
    if (doubt !== null && entry !== undefined && listCounted(entry).length >= maxCrashes) entry.probedUntilMs = performance.now() + doubt.probeMs
  }

  /** Records that a request succeeded. Returns the mark to send to peers if that clears a suspect or quarantined request, otherwise null. */
  recordSuccess (fingerprint: string): SuspectMark | null {
    const isClear = this.check(fingerprint).type === 'clear'
    const entry = this.#entries.get(fingerprint)
    // Peers may not know that the endpoints of crashes lived on.
    if (entry === undefined || (isClear && entry.crashes.length === 0)) return null
    const crashIds = entry.crashes.flatMap(crash => [...crash.ids])
    settleCrashes(entry, crashIds)
    entry.told = null
    return { type: 'cleared', fingerprint, crashIds }
  }

  /**
   * Ends the quarantines of requests whose fingerprint begins with a text; their crashes up to a monotonic time no longer count,
   * whenever their marks arrive. Returns the fingerprints that were suspect or quarantined.
   */
  lift (fingerprintStart: string, liftedAtMs: number): string[] {
    this.#liftTimes.record(fingerprintStart, liftedAtMs)
    return [...this.#entries].flatMap(([fingerprint, entry]) => fingerprint.startsWith(fingerprintStart) && liftSuspectEntry(entry, liftedAtMs) ? [fingerprint] : [])
  }

  /** Applies a mark of a peer, made `ageMs` ago: its `firstCrashAgeMs` is as of then, its other ages and its remaining time as of now. */
  applyMark (mark: SuspectMark, ageMs = 0): void {
    const nowMs = performance.now()
    match(mark)
      .with({ type: 'crashed' }, ({ fingerprint, crashes }) => {
        for (const crash of crashes) this.#addCrash(fingerprint, parseMarkedCrash(crash, nowMs), nowMs)
      })
      .with({ type: 'quarantined' }, quarantined => this.#applyQuarantined(quarantined, ageMs, nowMs))
      .with({ type: 'cleared' }, ({ fingerprint, crashIds }) => settleCrashes(this.#getOrCreateEntry(fingerprint, nowMs), crashIds))
      .exhaustive()
  }

  /** Returns the current state of a request; removes it when it has expired. */
  check (fingerprint: string): SuspectState {
    const nowMs = performance.now()
    const entry = this.#entries.get(fingerprint)
    if (entry === undefined) return { type: 'clear' }
    this.#checkSurvival(entry)
    const untilMs = this.#findQuarantineEnd(fingerprint, entry)
    if (untilMs > nowMs) return { type: 'quarantined', retryAfterMs: untilMs - nowMs, isDoubtful: this.#isDoubtful(entry) }
    // One more crash after a quarantine quarantines the request again.
    if (untilMs > -Infinity && !this.#isDoubtful(entry)) retainLatestCrashes(entry, this.#options.maxCrashes - 1)
    if (entry.expiresAtMs <= nowMs) this.#entries.delete(fingerprint)
    else if (listCounted(entry).length > 0 || entry.told !== null) return { type: 'suspect' }
    return { type: 'clear' }
  }

  /** Counts the crashes that count against a request. */
  countCrashes (fingerprint: string): number {
    const entry = this.check(fingerprint).type === 'clear' ? undefined : this.#entries.get(fingerprint)
    return entry === undefined ? 0 : listCounted(entry).length
  }

  #checkSurvival ({ crashes }: SuspectEntry): void {
    for (const crash of crashes) crash.hasLivedOn ||= hasSurvived(this.#lifespans, crash.endpoint, crash.endPeriod)
  }

  /** A quarantine holds while its crashes count; marks of earlier builds do not name them. */
  #applyQuarantined ({ fingerprint, forMs, crashCount = 0, firstCrashAgeMs = 0, endpoints = [], crashes }: Extract<SuspectMark, { type: 'quarantined' }>, ageMs: number, nowMs: number): void {
    if (crashes !== undefined) {
      for (const crash of crashes) this.#addCrash(fingerprint, parseMarkedCrash(crash, nowMs), nowMs)
      return
    }
    const firstCrashAtMs = nowMs - ageMs - firstCrashAgeMs
    if (firstCrashAtMs <= this.#liftTimes.findByPrefix(fingerprint)) return
    const entry = this.#getOrCreateEntry(fingerprint, nowMs)
    const known = entry.told
    const untilMs = Math.max(known?.untilMs ?? 0, nowMs + Math.min(forMs, this.#options.quarantineMs))
    entry.told = { untilMs, firstCrashAtMs: Math.max(known?.firstCrashAtMs ?? -Infinity, firstCrashAtMs), crashCount: Math.max(known?.crashCount ?? 0, crashCount), endpoints: [...new Set([...known?.endpoints ?? [], ...endpoints])] }
    this.#updateExpiry(fingerprint, entry)
  }

  #addCrash (fingerprint: string, crash: Crash, nowMs: number): SuspectEntry {
    this.#losses.record(crash.endpoint, crash.crashedAtMs)
    const entry = this.#getOrCreateEntry(fingerprint, nowMs)
    if (crash.crashedAtMs <= this.#liftTimes.findByPrefix(fingerprint)) settleCrashes(entry, crash.ids)
    else addCrash(entry, crash)
    this.#updateExpiry(fingerprint, entry)
    return entry
  }

  /** A request is still suspect after its quarantine. */
  #updateExpiry (fingerprint: string, entry: SuspectEntry): void {
    entry.expiresAtMs = Math.max(entry.expiresAtMs, this.#findQuarantineEnd(fingerprint, entry) + this.#options.suspectMs)
  }

  /** Whether enough crashes count for a quarantine, but they may have another cause. */
  #isDoubtful (entry: SuspectEntry): boolean {
    const { maxCrashes, doubt } = this.#options
    const crashes = listCounted(entry)
    if (doubt === null || crashes.length < maxCrashes || crashes.length >= maxCrashes + doubt.holdsMs.length) return false
    const lastCrashAtMs = Math.max(...crashes.map(({ crashedAtMs }) => crashedAtMs))
    const known = entry.doubt !== null && entry.doubt.crashCount === crashes.length && entry.doubt.lastCrashAtMs === lastCrashAtMs ? entry.doubt : null
    if (known?.isFinal === true) return known.isDoubtful
    entry.doubt = { crashCount: crashes.length, lastCrashAtMs, isDoubtful: known?.isDoubtful === true || hasOtherCause(crashes, this.#losses, doubt), isFinal: hasAllLosses(crashes) }
    return entry.doubt.isDoubtful
  }

  /** Returns when the quarantine of a request ends or ended; `-Infinity` without one. */
  #findQuarantineEnd (fingerprint: string, entry: SuspectEntry): number {
    const { maxCrashes, quarantineMs, doubt } = this.#options
    const toldUntilMs = entry.told?.untilMs ?? -Infinity
    const crashes = listCounted(entry)
    if (crashes.length < maxCrashes) return toldUntilMs
    const lastCrashAtMs = Math.max(...crashes.map(({ crashedAtMs }) => crashedAtMs))
    if (doubt === null || !this.#isDoubtful(entry)) return Math.max(toldUntilMs, lastCrashAtMs + quarantineMs)
    return Math.max(toldUntilMs, lastCrashAtMs + doubt.holdsMs[crashes.length - maxCrashes] + this.#computeSpreadMs(fingerprint, crashes.length, doubt), entry.probedUntilMs)
  }

  /** Computes by how much longer than others this VM waits before it sends the request again, so that rarely two do at the same time. */
  #computeSpreadMs (fingerprint: string, crashCount: number, { holdSpreadMs }: DoubtOptions): number {
    return holdSpreadMs * parseInt(hashText(this.#idPrefix, fingerprint, String(crashCount)).slice(0, SPREAD_HASH_DIGITS), 16) / 16 ** SPREAD_HASH_DIGITS
  }

  #buildMark (fingerprint: string, entry: SuspectEntry, nowMs: number): SuspectMark {
    const { told } = entry
    const crashes = listCounted(entry)
    const { maxCrashes } = this.#options
    const forMs = this.#findQuarantineEnd(fingerprint, entry) - nowMs
    if (forMs <= 0 || this.#isDoubtful(entry)) return buildCrashedMark(fingerprint, crashes, nowMs)
    const firstCrashAtMs = Math.max(told?.firstCrashAtMs ?? -Infinity, crashes.length < maxCrashes ? -Infinity : findFirstOfLatest(crashes, maxCrashes))
    return buildQuarantinedMark(fingerprint, entry, forMs, firstCrashAtMs, nowMs)
  }

  #getOrCreateEntry (fingerprint: string, nowMs: number): SuspectEntry {
    this.check(fingerprint)
    const entry = this.#entries.get(fingerprint) ?? createSuspectEntry()
    entry.expiresAtMs = Math.max(entry.expiresAtMs, nowMs + this.#options.suspectMs)
    this.#entries.delete(fingerprint)
    this.#entries.set(fingerprint, entry)
    for (const oldest of this.#entries.keys()) {
      if (this.#entries.size <= this.#options.maxEntries) break
      this.#entries.delete(oldest)
    }
    return entry
  }
}
