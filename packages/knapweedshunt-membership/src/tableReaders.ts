import type { DataCentreId, VmId } from 'knapweedshunt-types'
import { hashToUint32, rankVms } from './rankVms.ts'

/** Number of VMs for which one reads the tables. */
const VMS_PER_READER = 20

/** Time for which a VM that refused, or gave no answer, is not asked, in milliseconds; it doubles with each further failure. */
const REFUSED_BACKOFF_MS = 1_000
const SILENT_BACKOFF_MS = 2_000
const MAX_BACKOFF_MS = 30_000

/** Number of failures in a row from which on a VM asks nobody for such a time: where none has processor time, each reads for itself. */
const MAX_FAILURES = 3

/** Largest part by which these times are longer, so that VMs do not return together. */
const BACKOFF_SPREAD = 0.5

/** Time for which a VM counts as asked, in milliseconds: VMs ask once a second, and notice within 1.25 s that no answer comes. */
const ASKED_MS = 2_500

/** Whom a VM asks for changes of the tables. */
export type TableReaderChoice<Candidate> =
  /** It reads them from the store itself; `hasFollowers` if others ask it. */
  | { type: 'self', hasFollowers: boolean }
  | { type: 'other', candidate: Candidate }

/** A VM that chooses, or may be chosen. */
export interface TableReaderCandidate {
  vm: VmId
  dataCentre: DataCentreId
}

interface Ranking<Candidate> {
  candidates: readonly Candidate[]
  byVm: Map<VmId, Candidate>
  /** All VMs, including this one. */
  ranked: VmId[]
}

/**
 * Chooses, by rendezvous hashing, the VMs that read the tables for those of their region. A VM asks one of its own data
 * centre if it can. It goes down the ranking past those that do not answer it until it comes to itself, and reads for
 * as long as others ask it, so that each reader that is lost is replaced without a message.
 */
export class TableReaders<Candidate extends TableReaderCandidate> {
  readonly #self: TableReaderCandidate
  readonly #task: string
  readonly #minVms: number
  readonly #backoffs = new Map<VmId, { untilMs: number, durationMs: number }>()
  #ranking: Ranking<Candidate> | null = null
  #askedAtMs = -Infinity
  /** Failures since the last answer. */
  #failures = 0
  #aloneUntilMs = -Infinity

  /** `task` is what is ranked for, the same for all VMs that share readers; with fewer than `minVms` VMs each reads for itself. */
  constructor (self: TableReaderCandidate, task: string, minVms: number) {
    this.#self = self
    this.#task = task
    this.#minVms = minVms
  }

  /** Chooses among the other VMs that may read the tables for this one; the list must not be changed later. */
  choose (candidates: readonly Candidate[]): TableReaderChoice<Candidate> {
    const nowMs = performance.now()
    if (this.#isAsked(nowMs)) return { type: 'self', hasFollowers: true }
    const vmCount = candidates.length + 1
    if (vmCount < this.#minVms || nowMs < this.#aloneUntilMs) return { type: 'self', hasFollowers: false }
    const { byVm, ranked } = this.#rank(candidates)
    const readers = ranked.filter(vm => (this.#backoffs.get(vm)?.untilMs ?? -Infinity) <= nowMs).slice(0, Math.ceil(vmCount / VMS_PER_READER))
    if (readers.includes(this.#self.vm)) return { type: 'self', hasFollowers: false }
    const others = readers.flatMap(vm => byVm.get(vm) ?? [])
    const near = others.filter(({ dataCentre }) => dataCentre === this.#self.dataCentre)
    const asked = near.length > 0 ? near : others
    return { type: 'other', candidate: asked[hashToUint32(this.#self.vm) % asked.length] }
  }

  /** Records that another VM asks this one. Returns whether none did until now. */
  recordAsked (): boolean {
    const nowMs = performance.now()
    const isFirst = !this.#isAsked(nowMs)
    this.#askedAtMs = nowMs
    return isFirst
  }

  /** Records that a VM answered. Its failures are forgotten after as long a time of answers as it was not asked before. */
  recordAnswer (vm: VmId): void {
    this.#failures = 0
    const backoff = this.#backoffs.get(vm)
    if (backoff !== undefined && performance.now() >= backoff.untilMs + backoff.durationMs) this.#backoffs.delete(vm)
  }

  /** Records that a VM gave no usable answer; `isSilent` if none came, so that asking it costs time. Returns whether it was asked until now. */
  recordFailure (vm: VmId, isSilent: boolean): boolean {
    const nowMs = performance.now()
    const previous = this.#backoffs.get(vm)
    if (previous !== undefined && previous.untilMs > nowMs) return false
    const minMs = isSilent ? SILENT_BACKOFF_MS : REFUSED_BACKOFF_MS
    const durationMs = Math.min(MAX_BACKOFF_MS, Math.max(minMs, 2 * (previous?.durationMs ?? 0)))
    this.#backoffs.set(vm, { untilMs: nowMs + durationMs * this.#computeSpread(vm), durationMs })
    const aloneMs = Math.min(MAX_BACKOFF_MS, REFUSED_BACKOFF_MS * 2 ** (++this.#failures - MAX_FAILURES))
    if (this.#failures >= MAX_FAILURES) this.#aloneUntilMs = nowMs + aloneMs * this.#computeSpread(this.#self.vm)
    return true
  }

  /** VMs choose several times a second, while candidates change seldom. */
  #rank (candidates: readonly Candidate[]): Ranking<Candidate> {
    if (this.#ranking?.candidates === candidates) return this.#ranking
    const byVm = new Map(candidates.map(candidate => [candidate.vm, candidate]))
    this.#ranking = { candidates, byVm, ranked: rankVms(this.#task, [...byVm.keys(), this.#self.vm]) }
    return this.#ranking
  }

  #isAsked (nowMs: number): boolean {
    return nowMs - this.#askedAtMs < ASKED_MS
  }

  #computeSpread (vm: VmId): number {
    return 1 + BACKOFF_SPREAD * hashToUint32(`${this.#self.vm}|${vm}`) / 2 ** 32
  }
}
