import { addElapsedTime } from 'knapweedshunt-attempts'
import type { SuspectMark } from 'knapweedshunt-attempts'
import { MAX_MARKS } from './peerMessages.ts'

interface TimedMark {
  mark: SuspectMark
  addedAtMs: number
}

/** Marks that one peer has not acknowledged; a newer mark of a request replaces the older one. */
export class UnacknowledgedMarks {
  readonly #marksByFingerprint = new Map<string, TimedMark>()

  /** Number of unacknowledged marks. */
  get size (): number {
    return this.#marksByFingerprint.size
  }

  /** Adds a mark; beyond `MAX_MARKS` the oldest one is evicted. */
  add (mark: SuspectMark, nowMs: number): void {
    this.#marksByFingerprint.delete(mark.fingerprint)
    this.#marksByFingerprint.set(mark.fingerprint, { mark, addedAtMs: nowMs })
    const [oldest] = this.#marksByFingerprint.keys()
    if (this.#marksByFingerprint.size > MAX_MARKS) this.#marksByFingerprint.delete(oldest)
  }

  /** Removes and returns all marks, with their ages and remaining times adjusted to `nowMs`. */
  drain (nowMs: number): SuspectMark[] {
    const marks = [...this.#marksByFingerprint.values()].map(({ mark, addedAtMs }) => addElapsedTime(mark, nowMs - addedAtMs))
    this.#marksByFingerprint.clear()
    return marks
  }
}
