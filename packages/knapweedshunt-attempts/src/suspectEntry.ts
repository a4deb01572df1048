import type { EndpointName } from 'knapweedshunt-types'
import { computeOwnEndPeriod, computeReportedEndPeriod } from './endPeriod.ts'
import type { HeldCrash } from './heldCrash.ts'
import { MAX_MARK_CRASHES, MAX_MARK_ENDPOINTS } from './suspectMark.ts'
import type { MarkedCrash, SuspectMark } from './suspectMark.ts'

/** Crash of an endpoint while it ran a request. Monotonic times, in milliseconds. */
export interface Crash extends HeldCrash {
  ids: Set<string>
  startedAtMs: number
  crashedAtMs: number
  /** Whether this registry recorded the crash. */
  isOwn: boolean
  /** Whether the endpoint's process is known to have lived on, so that it did not crash. */
  hasLivedOn: boolean
}

/** Quarantine in a mark that does not name its crashes. Monotonic times, in milliseconds. */
export interface ToldQuarantine {
  untilMs: number
  firstCrashAtMs: number
  crashCount: number
  endpoints: EndpointName[]
}

/** Decision whether crashes may have another cause than the request; it holds until others count. */
export interface SuspectDoubt {
  crashCount: number
  lastCrashAtMs: number
  isDoubtful: boolean
  isFinal: boolean
}

/** What is held against a request. Monotonic times, in milliseconds. */
export interface SuspectEntry {
  crashes: Crash[]
  /** Ids of crashes that no longer count; their marks may still arrive. */
  settledIds: Set<string>
  told: ToldQuarantine | null
  /** Whether the crashes may have another cause, as far as that was decided; null before. */
  doubt: SuspectDoubt | null
  /** Time until which no other attempt is sent, as one is under way to find out. */
  probedUntilMs: number
  expiresAtMs: number
}

/** Maximum number of crashes held for a request; the latest are kept. */
const MAX_CRASHES = 64

/** Maximum number of settled crash ids held for a request. */
const MAX_SETTLED_IDS = 256

/** Creates an entry against which nothing is held. */
export function createSuspectEntry (): SuspectEntry {
  return { crashes: [], settledIds: new Set(), told: null, doubt: null, probedUntilMs: -Infinity, expiresAtMs: 0 }
}

/** Whether two records describe the same crash: by id, or because a crash ends all attempts on its endpoint, so that attempts which overlap on one endpoint were ended by the same crash. */
export function isSameCrash (a: Crash, b: Crash): boolean {
  if (hasAny(a.ids, b.ids)) return true
  return a.endpoint === b.endpoint && a.startedAtMs < b.crashedAtMs && b.startedAtMs < a.crashedAtMs
}

/** Adds a crash to an entry, unless it is held already or no longer counts. */
export function addCrash (entry: SuspectEntry, crash: Crash): void {
  const known = entry.crashes.find(other => isSameCrash(other, crash))
  if (known !== undefined) joinCrash(known, crash)
  else if (!hasAny(entry.settledIds, crash.ids)) entry.crashes.push(crash)
  if (entry.crashes.length > MAX_CRASHES) retainLatestCrashes(entry, MAX_CRASHES)
}

/** What this VM saw tells more exactly when the endpoint may have ended than what a peer says; of two losses here it must have lived through both. */
function joinCrash (known: Crash, crash: Crash): void {
  for (const id of crash.ids) known.ids.add(id)
  if (!crash.isOwn) return
  const { earliestAtMs, latestAtMs } = crash.endPeriod
  known.endPeriod = { earliestAtMs: known.isOwn ? Math.min(known.endPeriod.earliestAtMs, earliestAtMs) : earliestAtMs, latestAtMs }
  known.isOwn = true
  known.hasLivedOn = false
}

/** Records that crashes no longer count, and removes them; the oldest ids are dropped beyond a limit. */
export function settleCrashes (entry: SuspectEntry, crashIds: Iterable<string>): void {
  for (const id of crashIds) entry.settledIds.add(id)
  entry.crashes = entry.crashes.filter(crash => !hasAny(entry.settledIds, crash.ids))
  for (const oldest of entry.settledIds) {
    if (entry.settledIds.size <= MAX_SETTLED_IDS) break
    entry.settledIds.delete(oldest)
  }
}

/** Keeps only the latest crashes; the others no longer count. */
export function retainLatestCrashes (entry: SuspectEntry, count: number): void {
  settleCrashes(entry, sortByTime(entry.crashes).slice(count).flatMap(({ ids }) => [...ids]))
}

/** Removes the crashes and the quarantine from up to a time; returns whether there were any. */
export function liftSuspectEntry (entry: SuspectEntry, liftedAtMs: number): boolean {
  const lifted = entry.crashes.filter(({ crashedAtMs }) => crashedAtMs <= liftedAtMs)
  const isToldLifted = entry.told !== null && entry.told.firstCrashAtMs <= liftedAtMs
  settleCrashes(entry, lifted.flatMap(({ ids }) => [...ids]))
  if (isToldLifted) entry.told = null
  return lifted.length > 0 || isToldLifted
}

/** Lists the crashes that count: those whose endpoints are not known to have lived on. */
export function listCounted ({ crashes }: SuspectEntry): Crash[] {
  return crashes.filter(({ hasLivedOn }) => !hasLivedOn)
}

/** Returns a time by which a crash must have happened for as many of the latest crashes to be later. */
export function findFirstOfLatest (crashes: readonly Crash[], count: number): number {
  return sortByTime(crashes)[count - 1].crashedAtMs
}

/** Builds the mark that tells peers of the crashes of a request. */
export function buildCrashedMark (fingerprint: string, crashes: readonly Crash[], nowMs: number): SuspectMark {
  return { type: 'crashed', fingerprint, crashes: listMarkedCrashes(crashes, nowMs) }
}

/** Builds the mark that tells peers of the quarantine of a request and the crashes that it follows from; one that was told without its crashes is passed on so. */
export function buildQuarantinedMark (fingerprint: string, entry: SuspectEntry, forMs: number, firstCrashAtMs: number, nowMs: number): SuspectMark {
  const { told } = entry
  const crashes = listCounted(entry)
  const endpoints = [...new Set([...crashes.map(({ endpoint }) => endpoint), ...told?.endpoints ?? []])].slice(0, MAX_MARK_ENDPOINTS)
  return { type: 'quarantined', fingerprint, forMs, crashCount: Math.max(crashes.length, told?.crashCount ?? 0), firstCrashAgeMs: Math.max(0, nowMs - firstCrashAtMs), endpoints, ...told === null && { crashes: listMarkedCrashes(crashes, nowMs) } }
}

/** Creates the record of a crash that this VM sees now. */
export function createOwnCrash (id: string, endpoint: EndpointName, startedAtMs: number, nowMs: number): Crash {
  return { ids: new Set([id]), endpoint, startedAtMs, crashedAtMs: nowMs, endPeriod: computeOwnEndPeriod(startedAtMs, nowMs), isOwn: true, hasLivedOn: false }
}

/** Converts a crash of a mark to monotonic times. */
export function parseMarkedCrash ({ ids, endpoint, startedAgeMs, crashedAgeMs }: MarkedCrash, nowMs: number): Crash {
  const startedAtMs = nowMs - startedAgeMs
  return { ids: new Set(ids), endpoint, startedAtMs, crashedAtMs: nowMs - crashedAgeMs, endPeriod: computeReportedEndPeriod(startedAtMs), isOwn: false, hasLivedOn: false }
}

function listMarkedCrashes (crashes: readonly Crash[], nowMs: number): MarkedCrash[] {
  return sortByTime(crashes).slice(0, MAX_MARK_CRASHES).map(({ ids, endpoint, startedAtMs, crashedAtMs }) => ({ ids: [...ids], endpoint, startedAgeMs: nowMs - startedAtMs, crashedAgeMs: nowMs - crashedAtMs }))
}

/** Sorts crashes by time, the latest first. */
function sortByTime (crashes: readonly Crash[]): Crash[] {
  return [...crashes].sort((a, b) => b.crashedAtMs - a.crashedAtMs)
}

function hasAny (ids: ReadonlySet<string>, others: ReadonlySet<string>): boolean {
  return [...others].some(id => ids.has(id))
}
