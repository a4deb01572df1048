import { addElapsedTime, joinMarks } from 'knapweedshunt-attempts'
import type { SuspectMark } from 'knapweedshunt-attempts'
import type { Incarnation } from 'knapweedshunt-types'
import { computeAgeMs } from './computeAgeMs.ts'
import type { CrashRow, NumberedMark } from './rosterRows.ts'

/** Maximum number of marks in a VM's row; with it a row stays within half of the size that the store accepts. */
const MAX_MARKS = 100

/** Maximum age by wall clock at which a crash or a clearing is applied, in milliseconds: the time for which a request stays suspect, plus seconds of clock skew. */
const MAX_MARK_AGE_MS = 70_000

/** A mark read from the row of another VM; ages and remaining times are as of now. */
export interface ReceivedMark {
  mark: SuspectMark
  /** Incarnation of the VM that wrote it. */
  from: Incarnation
  /** Time since the mark was made, by the wall clocks of both VMs, in milliseconds. */
  ageMs: number
}

/** Marks of suspect requests that this VM has made, and which marks of the other VMs it has applied. */
export class CrashMarks {
  readonly #incarnation: Incarnation
  readonly #onEvicted: (mark: SuspectMark) => void
  #marks: NumberedMark[] = []
  #lastNumber = 0
  /** Number of the last mark applied, by VM incarnation. */
  readonly #lastAppliedNumber = new Map<Incarnation, number>()

  constructor (incarnation: Incarnation, onEvicted: (mark: SuspectMark) => void) {
    this.#incarnation = incarnation
    this.#onEvicted = onEvicted
  }

  /** Adds a mark of this VM, which replaces or joins its earlier marks of the same request. */
  add (mark: SuspectMark): void {
    const others = this.#marks.filter(known => known.mark.fingerprint !== mark.fingerprint)
    const known = this.#marks.filter(numbered => numbered.mark.fingerprint === mark.fingerprint && !isExpired(numbered))
    const joined = joinMarks(known.map(({ mark, atMs }) => addElapsedTime(mark, computeAgeMs(atMs))), mark)
    // What the other VMs have been told already keeps its number, so that they do not apply it again.
    this.#setMarks([...others, ...joined.map(one => known.find(told => isSameClearing(told.mark, one)) ?? { n: ++this.#lastNumber, atMs: Date.now(), mark: one })])
  }

  /** Removes this VM's mark of a request. */
  remove (fingerprint: string): void {
    this.#setMarks(this.#marks.filter(({ mark }) => mark.fingerprint !== fingerprint))
  }

  /** Takes over the marks of this VM's previous incarnation, as its row is about to be replaced. */
  adopt (row: CrashRow): void {
    if (row.incarnation === this.#incarnation) return
    const known = new Set(this.#marks.map(({ mark }) => mark.fingerprint))
    const adopted = row.marks.filter(({ mark }) => !known.has(mark.fingerprint))
    this.#setMarks([...adopted.map(({ atMs, mark }) => ({ n: ++this.#lastNumber, atMs, mark })), ...this.#marks])
  }

  /** Builds this VM's row; null while it has no marks. */
  buildRow (): CrashRow | null {
    return this.#lastNumber === 0 ? null : { incarnation: this.#incarnation, marks: this.#marks }
  }

  /** Returns the marks of a row that were not applied before. */
  takeNew ({ incarnation, marks }: CrashRow): ReceivedMark[] {
    if (incarnation === this.#incarnation) return []
    const lastNumber = this.#lastAppliedNumber.get(incarnation) ?? 0
    this.#lastAppliedNumber.set(incarnation, Math.max(lastNumber, ...marks.map(({ n }) => n)))
    return marks.filter(numbered => numbered.n > lastNumber && !isExpired(numbered)).map(({ atMs, mark }) => {
      const ageMs = computeAgeMs(atMs)
      return { mark: addElapsedTime(mark, ageMs), from: incarnation, ageMs }
    })
  }

  /** Drops expired marks, then the least important ones beyond the limit. */
  #setMarks (marks: NumberedMark[]): void {
    const current = marks.filter(numbered => !isExpired(numbered))
    const evicted = [...current].sort((a, b) => computeImportance(a.mark) - computeImportance(b.mark) || a.atMs - b.atMs).slice(0, Math.max(0, current.length - MAX_MARKS))
    for (const { mark } of evicted) this.#onEvicted(mark)
    this.#marks = current.filter(numbered => !evicted.includes(numbered))
  }
}

function isSameClearing (a: SuspectMark, b: SuspectMark): boolean {
  return a.type === 'cleared' && b.type === 'cleared' && a.crashIds.join() === b.crashIds.join()
}

function isExpired ({ atMs, mark }: NumberedMark): boolean {
  return mark.type === 'quarantined' ? computeAgeMs(atMs) >= mark.forMs : computeAgeMs(atMs) > MAX_MARK_AGE_MS
}

/** A request with more crashes is nearer to its quarantine; a lost clearing only prolongs a suspicion. */
function computeImportance (mark: SuspectMark): number {
  if (mark.type === 'quarantined') return Infinity
  return mark.type === 'crashed' ? mark.crashes.length : 0
}
