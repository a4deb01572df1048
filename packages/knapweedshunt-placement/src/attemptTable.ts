import type { AttemptId, PrefixLevel } from 'knapweedshunt-types'
import type { EndpointState } from './endpointState.ts'

/** A level that an endpoint should hold from an earlier use. */
export interface ReusedLevel {
  tokens: number
  ageMs: number
}

/** An attempt that runs. */
export interface RunningAttempt {
  state: EndpointState
  /** Followed levels, which it brings into the cache. */
  levels: PrefixLevel[]
  /** Prompt tokens that were expected to be cached. */
  expectedTokens: number
  /** Levels that were used before on the endpoint, by which the cache's life is learned. */
  reused: ReusedLevel[]
  atMs: number
}

/** Ended attempts remembered at least, so that a late start is not counted. */
const MAX_ENDED = 4_096

/** Attempts started and not ended. Counts stay right when events are lost, doubled or reordered. */
export class AttemptTable {
  readonly #running = new Map<AttemptId, RunningAttempt>()
  #ended = new Set<AttemptId>()
  #endedBefore = new Set<AttemptId>()
  readonly #maxMs: number

  constructor (maxMs: number) {
    this.#maxMs = maxMs
  }

  /** Attempts that run. */
  get size (): number {
    return this.#running.size
  }

  /** Adds an attempt; false if it runs already or ended before. */
  start (attempt: AttemptId, running: RunningAttempt): boolean {
    if (this.#running.has(attempt) || this.#hasEnded(attempt)) return false
    this.#running.set(attempt, running)
    return true
  }

  /** An attempt that runs. */
  find (attempt: AttemptId): RunningAttempt | undefined {
    return this.#running.get(attempt)
  }

  /** Ends an attempt; undefined if it does not run. */
  finish (attempt: AttemptId): RunningAttempt | undefined {
    const running = this.#running.get(attempt)
    this.#running.delete(attempt)
    this.#noteEnded(attempt)
    running?.state.noteEnd()
    return running
  }

  /** Ends attempts whose end was never heard. They are held in the order of their starts. */
  dropExpired (nowMs: number): void {
    for (const [attempt, running] of this.#running) {
      if (nowMs - running.atMs < this.#maxMs) return
      this.finish(attempt)
    }
  }

  #hasEnded (attempt: AttemptId): boolean {
    return this.#ended.has(attempt) || this.#endedBefore.has(attempt)
  }

  #noteEnded (attempt: AttemptId): void {
    this.#ended.add(attempt)
    if (this.#ended.size < MAX_ENDED) return
    this.#endedBefore = this.#ended
    this.#ended = new Set()
  }
}
