import type { EndpointName, OrganisationName } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { MarkedCrash, SuspectMark } from './suspectMark.ts'

/** Options of the suspect registry. */
export interface SuspectOptions {
  /** Crashes after which a request is refused. */
  maxCrashes: number
  /** Time that a request stays suspect after a crash, in milliseconds. */
  suspectMs: number
  /** Time that a request is refused, in milliseconds. */
  quarantineMs: number
  /** Most requests remembered; the oldest go first. */
  maxEntries: number
}

/** Two crashes, then ten minutes. */
export const DEFAULT_SUSPECT_OPTIONS: SuspectOptions = { maxCrashes: 2, suspectMs: 600_000, quarantineMs: 600_000, maxEntries: 10_000 }

/** What may be done with a request. */
export type SuspectState =
  | { type: 'clear' }
  /** Runs alone. */
  | { type: 'suspect' }
  | { type: 'quarantined', retryAfterMs: number }

interface Crash {
  endpoint: EndpointName
  startedAtMs: number
  crashedAtMs: number
}

interface Entry {
  crashes: Crash[]
  quarantinedUntilMs: number
  forgetAtMs: number
}

/** Names a request: equal for each repetition by its caller, different for any two organisations. */
export function nameFingerprint (organisation: OrganisationName, digest: string): string {
  return hashText(organisation, digest)
}

/** Requests that were in flight when an endpoint crashed, here or at a peer. */
export class SuspectRegistry {
  readonly #options: SuspectOptions
  readonly #entries = new Map<string, Entry>()

  constructor (options: SuspectOptions = DEFAULT_SUSPECT_OPTIONS) {
    this.#options = options
  }

  /** Requests remembered. */
  get size (): number {
    return this.#entries.size
  }

  /** Takes a crash of an endpoint while an attempt that started at `startedAtMs` was on it. Returns what peers must hear. */
  noteCrash (fingerprint: string, endpoint: EndpointName, startedAtMs: number): SuspectMark {
    const nowMs = performance.now()
    const entry = this.#addCrash(fingerprint, { endpoint, startedAtMs, crashedAtMs: nowMs }, nowMs)
    return describeEntry(fingerprint, entry, nowMs)
  }

  /** Marks of all requests remembered, for a peer that starts with none. */
  listMarks (): SuspectMark[] {
    const nowMs = performance.now()
    return [...this.#entries].map(([fingerprint, entry]) => describeEntry(fingerprint, entry, nowMs))
  }

  /** The request ran to its end. Returns the mark for peers when that clears it. */
  noteSuccess (fingerprint: string): SuspectMark | null {
    if (this.check(fingerprint).type !== 'suspect') return null
    this.#entries.delete(fingerprint)
    return { type: 'cleared', fingerprint }
  }

  /** Takes a peer's mark. */
  takeMark (mark: SuspectMark): void {
    const nowMs = performance.now()
    match(mark)
      .with({ type: 'crashed' }, ({ fingerprint, crashes }) => {
        for (const crash of crashes) this.#addCrash(fingerprint, readCrash(crash, nowMs), nowMs)
      })
      .with({ type: 'quarantined' }, ({ fingerprint, forMs }) => this.#quarantine(this.#open(fingerprint, nowMs), nowMs + Math.min(forMs, this.#options.quarantineMs)))
      .with({ type: 'cleared' }, ({ fingerprint }) => {
        if (this.check(fingerprint).type === 'suspect') this.#entries.delete(fingerprint)
      })
      .exhaustive()
  }

  /** What may be done with the request now. */
  check (fingerprint: string): SuspectState {
    const nowMs = performance.now()
    const entry = this.#entries.get(fingerprint)
    if (entry === undefined) return { type: 'clear' }
    if (entry.quarantinedUntilMs > nowMs) return { type: 'quarantined', retryAfterMs: entry.quarantinedUntilMs - nowMs }
    if (entry.forgetAtMs > nowMs) return { type: 'suspect' }
    this.#entries.delete(fingerprint)
    return { type: 'clear' }
  }

  #addCrash (fingerprint: string, crash: Crash, nowMs: number): Entry {
    const entry = this.#open(fingerprint, nowMs)
    if (!entry.crashes.some(known => isSameCrash(known, crash))) entry.crashes.push(crash)
    if (entry.crashes.length >= this.#options.maxCrashes) this.#quarantine(entry, nowMs + this.#options.quarantineMs)
    return entry
  }

  /** When the quarantine is over the request is suspect still: one more crash brings it back. */
  #quarantine (entry: Entry, untilMs: number): void {
    entry.quarantinedUntilMs = Math.max(entry.quarantinedUntilMs, untilMs)
    entry.forgetAtMs = entry.quarantinedUntilMs + this.#options.suspectMs
    entry.crashes.splice(0, entry.crashes.length - this.#options.maxCrashes + 1)
  }

  #open (fingerprint: string, nowMs: number): Entry {
    const known = this.check(fingerprint).type === 'clear' ? undefined : this.#entries.get(fingerprint)
    const entry = known ?? { crashes: [], quarantinedUntilMs: 0, forgetAtMs: 0 }
    entry.forgetAtMs = Math.max(entry.forgetAtMs, nowMs + this.#options.suspectMs)
    this.#entries.delete(fingerprint)
    this.#entries.set(fingerprint, entry)
    for (const oldest of this.#entries.keys()) {
      if (this.#entries.size <= this.#options.maxEntries) break
      this.#entries.delete(oldest)
    }
    return entry
  }
}

/** A crash ends all attempts on its endpoint, so attempts that overlap on one endpoint ended by the same crash. */
function isSameCrash (a: Crash, b: Crash): boolean {
  return a.endpoint === b.endpoint && a.startedAtMs < b.crashedAtMs && b.startedAtMs < a.crashedAtMs
}

function describeEntry (fingerprint: string, entry: Entry, nowMs: number): SuspectMark {
  const forMs = entry.quarantinedUntilMs - nowMs
  if (forMs > 0) return { type: 'quarantined', fingerprint, forMs }
  return { type: 'crashed', fingerprint, crashes: entry.crashes.map(crash => describeCrash(crash, nowMs)) }
}

function describeCrash ({ endpoint, startedAtMs, crashedAtMs }: Crash, nowMs: number): MarkedCrash {
  return { endpoint, startedAgeMs: nowMs - startedAtMs, crashedAgeMs: nowMs - crashedAtMs }
}

function readCrash ({ endpoint, startedAgeMs, crashedAgeMs }: MarkedCrash, nowMs: number): Crash {
  return { endpoint, startedAtMs: nowMs - startedAgeMs, crashedAtMs: nowMs - crashedAgeMs }
}
