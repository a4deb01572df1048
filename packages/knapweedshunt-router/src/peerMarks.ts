import type { SuspectMark } from 'knapweedshunt-attempts'
import { MAX_MARKS } from './peerMessages.ts'

interface PendingMark {
  mark: SuspectMark
  atMs: number
}

/** Marks that one peer has not acknowledged; the newest of each request is kept. */
export class PeerMarks {
  readonly #pending = new Map<string, PendingMark>()

  /** Marks waiting. */
  get size (): number {
    return this.#pending.size
  }

  /** Adds a mark; past the limit the oldest goes. */
  add (mark: SuspectMark, nowMs: number): void {
    this.#pending.delete(mark.fingerprint)
    this.#pending.set(mark.fingerprint, { mark, atMs: nowMs })
    const [oldest] = this.#pending.keys()
    if (this.#pending.size > MAX_MARKS) this.#pending.delete(oldest)
  }

  /** Takes all marks, aged to now. */
  takeAll (nowMs: number): SuspectMark[] {
    const marks = [...this.#pending.values()].map(({ mark, atMs }) => addAge(mark, nowMs - atMs))
    this.#pending.clear()
    return marks
  }
}

function addAge (mark: SuspectMark, ms: number): SuspectMark {
  switch (mark.type) {
    case 'crashed':
      return { ...mark, crashes: mark.crashes.map(crash => ({ ...crash, startedAgeMs: crash.startedAgeMs + ms, crashedAgeMs: crash.crashedAgeMs + ms })) }
    case 'quarantined':
      return { ...mark, forMs: Math.max(0, mark.forMs - ms) }
    case 'cleared':
      return mark
  }
}
