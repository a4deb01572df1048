import type { AttemptId } from 'knapweedshunt-types'
import type { LiveAttempt } from './liveAttempt.ts'

/** Attempts of one request that have not ended, in the order in which they were created. */
export class LiveAttempts {
  readonly #attempts = new Map<AttemptId, LiveAttempt>()
  /** Attempts that are silent and go on while another endpoint is asked. */
  readonly #stalled = new Set<AttemptId>()

  get size (): number {
    return this.#attempts.size
  }

  /** Whether each attempt has stalled. */
  get hasOnlyStalled (): boolean {
    return [...this.#attempts.keys()].every(attempt => this.#stalled.has(attempt))
  }

  /** Whether an endpoint was chosen for one of the attempts. */
  get hasPlaced (): boolean {
    return [...this.#attempts.values()].some(({ endpoint }) => endpoint !== null)
  }

  has (attempt: AttemptId): boolean {
    return this.#attempts.has(attempt)
  }

  /** Returns an attempt, which must be live. */
  get (attempt: AttemptId): LiveAttempt {
    return this.#attempts.get(attempt)!
  }

  isStalled (attempt: AttemptId): boolean {
    return this.#stalled.has(attempt)
  }

  /** Adds an attempt for which no endpoint is chosen yet. */
  add (attempt: AttemptId): void {
    this.#attempts.set(attempt, { attempt, endpoint: null, incarnation: '', weightsVersion: '', softwareVersion: '' })
  }

  /** Replaces what is known of an attempt; its place in the order remains. */
  update (live: LiveAttempt): void {
    this.#attempts.set(live.attempt, live)
  }

  setStalled (attempt: AttemptId, isStalled: boolean): void {
    if (isStalled) this.#stalled.add(attempt)
    else this.#stalled.delete(attempt)
  }

  remove (attempt: AttemptId): void {
    this.#attempts.delete(attempt)
    this.#stalled.delete(attempt)
  }

  /** Removes all attempts but one; returns those that were removed. */
  takeOthers (kept: AttemptId): AttemptId[] {
    return this.size === 1 ? [] : this.#take([...this.#attempts.keys()].filter(attempt => attempt !== kept))
  }

  /** Removes all attempts but the oldest; returns those that were removed. */
  takeNewer (): AttemptId[] {
    return this.#take([...this.#attempts.keys()].slice(1))
  }

  /** Removes all attempts; returns them. */
  takeAll (): AttemptId[] {
    return this.#take([...this.#attempts.keys()])
  }

  #take (attempts: AttemptId[]): AttemptId[] {
    for (const attempt of attempts) this.remove(attempt)
    return attempts
  }
}
