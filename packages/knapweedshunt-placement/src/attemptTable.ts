import type { AttemptId, PrefixLevel } from 'knapweedshunt-types'
import type { EndpointState } from './endpointState.ts'

/** A level that an endpoint was expected to have cached from an earlier use; `ageMs` is the time since that use. */
export interface ReusedLevel {
  tokens: number
  ageMs: number
}

/** An attempt in flight. */
export interface RunningAttempt {
  state: EndpointState
  /** Tracked levels, which the attempt brings into the cache. */
  levels: PrefixLevel[]
  /** Prompt tokens that were expected to be cached. */
  expectedTokens: number
  /** Levels used before on the endpoint; whether they are still cached adjusts the estimated cache lifetime. */
  reusedLevels: ReusedLevel[]
  atMs: number
}

/** Minimum number of ended attempts remembered, so that a start event that arrives late is not counted. */
const MIN_REMEMBERED_ENDS = 4_096

/** Attempts in flight. Counts stay correct when events are lost, duplicated or reordered. */
export class AttemptTable {
  readonly #running = new Map<AttemptId, RunningAttempt>()
  #ended = new Set<AttemptId>()
  #previouslyEnded = new Set<AttemptId>()
  readonly #timeoutMs: number

  constructor (timeoutMs: number) {
    this.#timeoutMs = timeoutMs
  }

  /** Number of attempts in flight. */
  get size (): number {
    return this.#running.size
  }

  /** Adds an attempt; false if it is already in flight or has ended. */
  start (attempt: AttemptId, running: RunningAttempt): boolean {
    if (this.#running.has(attempt) || this.#hasEnded(attempt)) return false
    this.#running.set(attempt, running)
    return true
  }

  /** Finds an attempt in flight. */
  find (attempt: AttemptId): RunningAttempt | undefined {
    return this.#running.get(attempt)
  }

  /** Ends an attempt and returns it; undefined if it is not in flight. */
  finish (attempt: AttemptId): RunningAttempt | undefined {
    const running = this.#running.get(attempt)
    this.#running.delete(attempt)
    this.#recordEnded(attempt)
    running?.state.recordAttemptEnd()
    return running
  }

  /** Ends attempts that exceeded the timeout because their end was never reported. The map is ordered by start time, so the search stops at the first younger one. */
  endExpired (nowMs: number): void {
    for (const [attempt, running] of this.#running) {
      if (nowMs - running.atMs < this.#timeoutMs) return
      this.finish(attempt)
    }
  }

  #hasEnded (attempt: AttemptId): boolean {
    return this.#ended.has(attempt) || this.#previouslyEnded.has(attempt)
  }

  #recordEnded (attempt: AttemptId): void {
    this.#ended.add(attempt)
    if (this.#ended.size < MIN_REMEMBERED_ENDS) return
    this.#previouslyEnded = this.#ended
    this.#ended = new Set()
  }
}
