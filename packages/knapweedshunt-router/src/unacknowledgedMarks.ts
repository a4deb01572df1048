import { addElapsedTime, joinMarks } from 'knapweedshunt-attempts'
import type { SuspectMark } from 'knapweedshunt-attempts'
import { MAX_MARKS } from './peerMessages.ts'

/** A request has two marks at most. */
const MAX_REQUESTS = MAX_MARKS / 2

interface TimedMarks {
  marks: SuspectMark[]
  addedAtMs: number
}

/** Marks that one peer has not acknowledged; a newer mark of a request replaces or joins the older ones. */
export class UnacknowledgedMarks {
  readonly #marksByFingerprint = new Map<string, TimedMarks>()

  /** Number of requests with unacknowledged marks. */
  get size (): number {
    return this.#marksByFingerprint.size
  }

  /** Adds a mark; beyond `MAX_REQUESTS` the marks of the oldest request are evicted. */
  add (mark: SuspectMark, nowMs: number): void {
    const known = this.#marksByFingerprint.get(mark.fingerprint)
    const knownMarks = known?.marks.map(one => addElapsedTime(one, nowMs - known.addedAtMs)) ?? []
    this.#marksByFingerprint.delete(mark.fingerprint)
    this.#marksByFingerprint.set(mark.fingerprint, { marks: joinMarks(knownMarks, mark), addedAtMs: nowMs })
    const [oldest] = this.#marksByFingerprint.keys()
    if (this.#marksByFingerprint.size > MAX_REQUESTS) this.#marksByFingerprint.delete(oldest)
  }

  /** Removes and returns all marks, with their ages and remaining times adjusted to `nowMs`. */
  drain (nowMs: number): SuspectMark[] {
    const marks = [...this.#marksByFingerprint.values()].flatMap(({ marks, addedAtMs }) => marks.map(mark => addElapsedTime(mark, nowMs - addedAtMs)))
    this.#marksByFingerprint.clear()
    return marks
  }

  /** Puts back marks that were drained at a monotonic time; those added since are newer. */
  restore (drained: readonly SuspectMark[], drainedAtMs: number, nowMs: number): void {
    const newer = this.drain(nowMs)
    for (const mark of drained) this.add(addElapsedTime(mark, nowMs - drainedAtMs), nowMs)
    for (const mark of newer) this.add(mark, nowMs)
  }
}
