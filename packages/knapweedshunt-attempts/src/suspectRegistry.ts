import type { EndpointName, OrganisationName } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
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
  endpoint: EndpointName
  startedAtMs: number
  crashedAtMs: number
}

interface SuspectEntry {
  crashes: Crash[]
  quarantinedUntilMs: number
  expiresAtMs: number
}

/** Identifies a request: the same for each repetition by its caller, different for different organisations. */
export function computeFingerprint (organisation: OrganisationName, digest: string): string {
  return hashText(organisation, digest)
}

/** Requests that were in flight when an endpoint crashed, as seen by this router or reported by a peer. */
export class SuspectRegistry {
  readonly #options: SuspectOptions
  readonly #entries = new Map<string, SuspectEntry>()

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
    const entry = this.#addCrash(fingerprint, { endpoint, startedAtMs, crashedAtMs: nowMs }, nowMs)
    return buildMark(fingerprint, entry, nowMs)
  }

  /** Returns the marks of all requests held, for a peer that starts without any. */
  listMarks (): SuspectMark[] {
    const nowMs = performance.now()
    return [...this.#entries].map(([fingerprint, entry]) => buildMark(fingerprint, entry, nowMs))
  }

  /** Records that a request succeeded. Returns the mark to send to peers if that clears a suspect request, otherwise null. */
  recordSuccess (fingerprint: string): SuspectMark | null {
    if (this.check(fingerprint).type !== 'suspect') return null
    this.#entries.delete(fingerprint)
    return { type: 'cleared', fingerprint }
  }

  /** Applies a mark received from a peer. */
  applyMark (mark: SuspectMark): void {
    const nowMs = performance.now()
    match(mark)
      .with({ type: 'crashed' }, ({ fingerprint, crashes }) => {
        for (const crash of crashes) this.#addCrash(fingerprint, parseMarkedCrash(crash, nowMs), nowMs)
      })
      .with({ type: 'quarantined' }, ({ fingerprint, forMs }) => this.#quarantine(this.#getOrCreateEntry(fingerprint, nowMs), nowMs + Math.min(forMs, this.#options.quarantineMs)))
      .with({ type: 'cleared' }, ({ fingerprint }) => {
        if (this.check(fingerprint).type === 'suspect') this.#entries.delete(fingerprint)
      })
      .exhaustive()
  }

  /** Returns the current state of a request; removes it when it has expired. */
  check (fingerprint: string): SuspectState {
    const nowMs = performance.now()
    const entry = this.#entries.get(fingerprint)
    if (entry === undefined) return { type: 'clear' }
    if (entry.quarantinedUntilMs > nowMs) return { type: 'quarantined', retryAfterMs: entry.quarantinedUntilMs - nowMs }
    if (entry.expiresAtMs > nowMs) return { type: 'suspect' }
    this.#entries.delete(fingerprint)
    return { type: 'clear' }
  }

  /** Counts the crashes that are held against a request; not all of those of a quarantined one are held. */
  countCrashes (fingerprint: string): number {
    return this.check(fingerprint).type === 'clear' ? 0 : this.#entries.get(fingerprint)?.crashes.length ?? 0
  }

  #addCrash (fingerprint: string, crash: Crash, nowMs: number): SuspectEntry {
    const entry = this.#getOrCreateEntry(fingerprint, nowMs)
    if (!entry.crashes.some(known => isSameCrash(known, crash))) entry.crashes.push(crash)
    if (entry.crashes.length >= this.#options.maxCrashes) this.#quarantine(entry, nowMs + this.#options.quarantineMs)
    return entry
  }

  /** Quarantines a request. Afterwards it is still suspect, and one more crash quarantines it again. */
  #quarantine (entry: SuspectEntry, untilMs: number): void {
    entry.quarantinedUntilMs = Math.max(entry.quarantinedUntilMs, untilMs)
    entry.expiresAtMs = entry.quarantinedUntilMs + this.#options.suspectMs
    entry.crashes.splice(0, entry.crashes.length - this.#options.maxCrashes + 1)
  }

  #getOrCreateEntry (fingerprint: string, nowMs: number): SuspectEntry {
    const existing = this.check(fingerprint).type === 'clear' ? undefined : this.#entries.get(fingerprint)
    const entry = existing ?? { crashes: [], quarantinedUntilMs: 0, expiresAtMs: 0 }
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

/** Whether two records describe the same crash. A crash ends all attempts on its endpoint, so attempts that overlap on one endpoint were ended by the same crash. */
function isSameCrash (a: Crash, b: Crash): boolean {
  return a.endpoint === b.endpoint && a.startedAtMs < b.crashedAtMs && b.startedAtMs < a.crashedAtMs
}

function buildMark (fingerprint: string, entry: SuspectEntry, nowMs: number): SuspectMark {
  const forMs = entry.quarantinedUntilMs - nowMs
  if (forMs > 0) return { type: 'quarantined', fingerprint, forMs }
  return { type: 'crashed', fingerprint, crashes: entry.crashes.map(crash => buildMarkedCrash(crash, nowMs)) }
}

function buildMarkedCrash ({ endpoint, startedAtMs, crashedAtMs }: Crash, nowMs: number): MarkedCrash {
  return { endpoint, startedAgeMs: nowMs - startedAtMs, crashedAgeMs: nowMs - crashedAtMs }
}

function parseMarkedCrash ({ endpoint, startedAgeMs, crashedAgeMs }: MarkedCrash, nowMs: number): Crash {
  return { endpoint, startedAtMs: nowMs - startedAgeMs, crashedAtMs: nowMs - crashedAgeMs }
}
