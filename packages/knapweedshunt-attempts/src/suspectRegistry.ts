import type { EndpointName, OrganisationName } from 'knapweedshunt-types'
import { createIncarnation, hashText } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import { LiftTimes } from './liftTimes.ts'
import { MAX_MARK_ENDPOINTS } from './suspectMark.ts'
import type { MarkedCrash, SuspectMark } from './suspectMark.ts'

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
}

/** Quarantines a request for ten minutes after two crashes. */
export const DEFAULT_SUSPECT_OPTIONS: SuspectOptions = { maxCrashes: 2, suspectMs: 600_000, quarantineMs: 600_000, maxEntries: 10_000 }

/** Whether and how a request may run. */
export type SuspectState =
  | { type: 'clear' }
  /** Must run without other requests on its endpoint. */
  | { type: 'suspect' }
  | { type: 'quarantined', retryAfterMs: number }

interface Crash {
  ids: Set<string>
  endpoint: EndpointName
  startedAtMs: number
  crashedAtMs: number
}

interface QuarantineEvidence {
  crashCount: number
  endpoints: EndpointName[]
}

interface SuspectEntry {
  crashes: Crash[]
  /** Ids of crashes that no longer count, because a success cleared them or a quarantine followed; their marks may still arrive. */
  settledIds: Set<string>
  quarantinedUntilMs: number
  /** Time of the first crash that the quarantine follows from, or of the mark that told of it. */
  firstCrashAtMs: number
  /** Crashes that the quarantine follows from, as far as they are known. */
  evidence: QuarantineEvidence
  expiresAtMs: number
}

const NO_EVIDENCE: QuarantineEvidence = { crashCount: 0, endpoints: [] }

/** Maximum number of settled crash ids held for a request. */
const MAX_SETTLED_IDS = 256

/** Identifies a request: the same for each repetition by its caller, different for different organisations. */
export function computeFingerprint (organisation: OrganisationName, digest: string): string {
  return hashText(organisation, digest)
}

/** Requests that were in flight when an endpoint crashed, as seen by this router or reported by a peer. */
export class SuspectRegistry {
  readonly #options: SuspectOptions
  readonly #entries = new Map<string, SuspectEntry>()
  /** Makes the crash ids of this registry unique among all VMs. */
  readonly #idPrefix = createIncarnation()
  #crashCount = 0
  readonly #liftTimes = new LiftTimes()

  constructor (options: SuspectOptions = DEFAULT_SUSPECT_OPTIONS) {
    this.#options = options
  }

  /** Number of requests held. */
  get size (): number {
    return this.#entries.size
  }

  /** Records the crash of an endpoint during an attempt that started at `startedAtMs`. Returns the mark to send to peers. */
  recordCrash (fingerprint: string, endpoint: EndpointName, startedAtMs: number): SuspectMark {
    const nowMs = performance.now()
    const ids = new Set([`${this.#idPrefix}-${++this.#crashCount}`])
    const entry = this.#addCrash(fingerprint, { ids, endpoint, startedAtMs, crashedAtMs: nowMs }, nowMs)
    return buildMark(fingerprint, entry, nowMs)
  }

  /** Returns the marks of all requests held, for a peer that starts without any. */
  listMarks (): SuspectMark[] {
    const nowMs = performance.now()
    return [...this.#entries].flatMap(([fingerprint, entry]) => this.check(fingerprint).type === 'clear' ? [] : [buildMark(fingerprint, entry, nowMs)])
  }

  /** Records that a request succeeded. Returns the mark to send to peers if that clears a suspect request, otherwise null. */
  recordSuccess (fingerprint: string): SuspectMark | null {
    if (this.check(fingerprint).type !== 'suspect') return null
    const crashIds = this.#entries.get(fingerprint)?.crashes.flatMap(crash => [...crash.ids]) ?? []
    this.#clear(fingerprint, crashIds, performance.now())
    return { type: 'cleared', fingerprint, crashIds }
  }

  /**
   * Ends the quarantines of requests whose fingerprint begins with a text; their crashes up to a monotonic time no longer count,
   * whenever their marks arrive. Returns the fingerprints that were suspect or quarantined.
   */
  lift (fingerprintStart: string, liftedAtMs: number): string[] {
    this.#liftTimes.record(fingerprintStart, liftedAtMs)
    return [...this.#entries].flatMap(([fingerprint, entry]) => fingerprint.startsWith(fingerprintStart) && liftEntry(entry, liftedAtMs) ? [fingerprint] : [])
  }

  /** Applies a mark of a peer, made `ageMs` ago: its `firstCrashAgeMs` is as of then, its other ages and its remaining time as of now. */
  applyMark (mark: SuspectMark, ageMs = 0): void {
    const nowMs = performance.now()
    match(mark)
      .with({ type: 'crashed' }, ({ fingerprint, crashes }) => {
        for (const crash of crashes) this.#addCrash(fingerprint, parseMarkedCrash(crash, nowMs), nowMs)
      })
      .with({ type: 'quarantined' }, ({ fingerprint, forMs, crashCount = 0, firstCrashAgeMs = 0, endpoints = [] }) => {
        const firstCrashAtMs = nowMs - ageMs - firstCrashAgeMs
        if (firstCrashAtMs <= this.#liftTimes.findByPrefix(fingerprint)) return
        this.#quarantine(this.#getOrCreateEntry(fingerprint, nowMs), firstCrashAtMs, nowMs + Math.min(forMs, this.#options.quarantineMs), { crashCount, endpoints })
      })
      .with({ type: 'cleared' }, ({ fingerprint, crashIds }) => this.#clear(fingerprint, crashIds, nowMs))
      .exhaustive()
  }

  /** Returns the current state of a request; removes it when it has expired. */
  check (fingerprint: string): SuspectState {
    const nowMs = performance.now()
    const entry = this.#entries.get(fingerprint)
    if (entry === undefined) return { type: 'clear' }
    if (entry.quarantinedUntilMs > nowMs) return { type: 'quarantined', retryAfterMs: entry.quarantinedUntilMs - nowMs }
    if (entry.expiresAtMs <= nowMs) this.#entries.delete(fingerprint)
    else if (entry.crashes.length > 0 || entry.quarantinedUntilMs > 0) return { type: 'suspect' }
    return { type: 'clear' }
  }

  /** Counts the crashes that are held against a request; not all of those of a quarantined one are held. */
  countCrashes (fingerprint: string): number {
    return this.check(fingerprint).type === 'clear' ? 0 : this.#entries.get(fingerprint)?.crashes.length ?? 0
  }

  #addCrash (fingerprint: string, crash: Crash, nowMs: number): SuspectEntry {
    const entry = this.#getOrCreateEntry(fingerprint, nowMs)
    if (crash.crashedAtMs <= this.#liftTimes.findByPrefix(fingerprint)) {
      settle(entry, [...crash.ids])
      return entry
    }
    const known = entry.crashes.find(other => isSameCrash(other, crash))
    if (known !== undefined) for (const id of crash.ids) known.ids.add(id)
    else if (!hasAny(entry.settledIds, crash.ids)) entry.crashes.push(crash)
    if (entry.crashes.length >= this.#options.maxCrashes) this.#quarantine(entry, this.#findFirstCrash(entry.crashes), nowMs + this.#options.quarantineMs, { crashCount: entry.crashes.length, endpoints: entry.crashes.map(({ endpoint }) => endpoint) })
    return entry
  }

  /** Removes the crashes with these ids and ignores their marks from now on. A quarantine remains: the request is not sent, so its success is an older one. */
  #clear (fingerprint: string, crashIds: string[], nowMs: number): void {
    const entry = this.#getOrCreateEntry(fingerprint, nowMs)
    settle(entry, crashIds)
    if (entry.quarantinedUntilMs > nowMs) return
    entry.crashes = entry.crashes.filter(crash => !hasAny(entry.settledIds, crash.ids))
    entry.quarantinedUntilMs = 0
  }

  /** Quarantines a request. Afterwards it is still suspect, and one more crash quarantines it again. */
  #quarantine (entry: SuspectEntry, firstCrashAtMs: number, untilMs: number, evidence: QuarantineEvidence): void {
    const known = entry.quarantinedUntilMs > firstCrashAtMs ? entry.evidence : NO_EVIDENCE
    entry.evidence = { crashCount: Math.max(known.crashCount, evidence.crashCount), endpoints: [...new Set([...known.endpoints, ...evidence.endpoints])].slice(0, MAX_MARK_ENDPOINTS) }
    entry.firstCrashAtMs = Math.max(entry.firstCrashAtMs, firstCrashAtMs)
    entry.quarantinedUntilMs = Math.max(entry.quarantinedUntilMs, untilMs)
    entry.expiresAtMs = Math.max(entry.expiresAtMs, entry.quarantinedUntilMs + this.#options.suspectMs)
    const removed = entry.crashes.splice(0, Math.max(0, entry.crashes.length - this.#options.maxCrashes + 1))
    settle(entry, removed.flatMap(crash => [...crash.ids]))
  }

  /** Returns the time of the first of the latest crashes that a quarantine takes. */
  #findFirstCrash (crashes: readonly Crash[]): number {
    return crashes.map(({ crashedAtMs }) => crashedAtMs).sort((a, b) => b - a)[this.#options.maxCrashes - 1]
  }

  #getOrCreateEntry (fingerprint: string, nowMs: number): SuspectEntry {
    this.check(fingerprint)
    const entry = this.#entries.get(fingerprint) ?? { crashes: [], settledIds: new Set(), quarantinedUntilMs: 0, firstCrashAtMs: -Infinity, evidence: NO_EVIDENCE, expiresAtMs: 0 }
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

/** Whether two records describe the same crash: by id, or because a crash ends all attempts on its endpoint, so that attempts which overlap on one endpoint were ended by the same crash. */
function isSameCrash (a: Crash, b: Crash): boolean {
  if (hasAny(a.ids, b.ids)) return true
  return a.endpoint === b.endpoint && a.startedAtMs < b.crashedAtMs && b.startedAtMs < a.crashedAtMs
}

/** Records that crashes no longer count; the oldest ids are dropped beyond a limit. */
function settle (entry: SuspectEntry, crashIds: string[]): void {
  for (const id of crashIds) entry.settledIds.add(id)
  for (const oldest of entry.settledIds) {
    if (entry.settledIds.size <= MAX_SETTLED_IDS) break
    entry.settledIds.delete(oldest)
  }
}

/** Removes the crashes and the quarantine from up to a time; returns whether there were any. */
function liftEntry (entry: SuspectEntry, liftedAtMs: number): boolean {
  const lifted = entry.crashes.filter(({ crashedAtMs }) => crashedAtMs <= liftedAtMs)
  const isQuarantineLifted = entry.quarantinedUntilMs > 0 && entry.firstCrashAtMs <= liftedAtMs
  entry.crashes = entry.crashes.filter(crash => !lifted.includes(crash))
  settle(entry, lifted.flatMap(crash => [...crash.ids]))
  if (isQuarantineLifted) entry.quarantinedUntilMs = 0
  return lifted.length > 0 || isQuarantineLifted
}

function hasAny (ids: ReadonlySet<string>, others: ReadonlySet<string>): boolean {
  return [...others].some(id => ids.has(id))
}

function buildMark (fingerprint: string, entry: SuspectEntry, nowMs: number): SuspectMark {
  const forMs = entry.quarantinedUntilMs - nowMs
  if (forMs > 0) return { type: 'quarantined', fingerprint, forMs, firstCrashAgeMs: Math.max(0, nowMs - entry.firstCrashAtMs), ...entry.evidence }
  return { type: 'crashed', fingerprint, crashes: entry.crashes.map(crash => buildMarkedCrash(crash, nowMs)) }
}

function buildMarkedCrash ({ ids, endpoint, startedAtMs, crashedAtMs }: Crash, nowMs: number): MarkedCrash {
  return { ids: [...ids], endpoint, startedAgeMs: nowMs - startedAtMs, crashedAgeMs: nowMs - crashedAtMs }
}

function parseMarkedCrash ({ ids, endpoint, startedAgeMs, crashedAgeMs }: MarkedCrash, nowMs: number): Crash {
  return { ids: new Set(ids), endpoint, startedAtMs: nowMs - startedAgeMs, crashedAtMs: nowMs - crashedAgeMs }
}
