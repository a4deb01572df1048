import type { DataCentreId, EndpointName, VmView } from 'knapweedshunt-types'
import { hashNumber } from './rankVms.ts'
import type { DataCentreSummary, SummaryDelta, SummaryVersions } from './dataCentreSummary.ts'
import { DEFAULT_MEMBERSHIP_OPTIONS } from './membershipOptions.ts'

interface KnownDataCentre {
  summary: DataCentreSummary
  rosterHash: string
  heardAtMs: number
}

/** Another data centre's summary and whether it was heard of lately. */
export interface DataCentreView extends DataCentreSummary {
  reached: boolean
}

const LAGGING_LIMIT = 5
const RADIX = 36

/** Unit of sequence numbers, in milliseconds. */
const SEQ_MS = 100

/** The data centres' summaries, this one's included. Opens nothing. */
export class DataCentreDirectory {
  readonly #own: DataCentreId
  readonly #notReachedAfterMs: number
  readonly #known = new Map<DataCentreId, KnownDataCentre>()
  /** Newer summaries whose roster is not at hand; not used until it is. */
  readonly #wanted = new Set<DataCentreId>()

  constructor (own: DataCentreId, notReachedAfterMs: number = DEFAULT_MEMBERSHIP_OPTIONS.notReachedAfterMs) {
    this.#own = own
    this.#notReachedAfterMs = notReachedAfterMs
  }

  /** Age of this data centre's summary, in milliseconds. */
  get ownAgeMs (): number {
    const known = this.#known.get(this.#own)
    return known === undefined ? Infinity : performance.now() - known.heardAtMs
  }

  /** Writes this data centre's summary anew. Done by the VMs that speak for it. */
  writeOwn (vms: VmView[], down: EndpointName[]): void {
    const roster = vms.map(view => ({ ...view, appliedRevision: 0 })).sort((a, b) => a.vm < b.vm ? -1 : 1)
    const counted = vms.filter(view => view.state === 'live' || view.state === 'suspect')
    const floor = counted.length === 0 ? 0 : Math.min(...counted.map(view => view.appliedRevision))
    const behind = counted.filter(view => view.appliedRevision === floor).map(view => view.vm)
    const lagging = behind.length === counted.length ? [] : behind.slice(0, LAGGING_LIMIT)
    const seq = Math.max(Math.floor(Date.now() / SEQ_MS), (this.#known.get(this.#own)?.summary.seq ?? 0) + 1)
    this.#store({ dataCentre: this.#own, seq, floor, lagging, down, roster }, hashRoster(roster))
  }

  /** What this VM has. */
  buildVersions (): SummaryVersions {
    const versions: SummaryVersions = { seqs: {}, rosters: {} }
    for (const [name, { summary }] of this.#known) versions.seqs[name] = summary.seq
    for (const name of this.#wanted) versions.rosters[name] = this.#known.get(name)?.rosterHash ?? ''
    return versions
  }

  /** What a peer with these versions lacks. */
  buildDeltas (versions: SummaryVersions): SummaryDelta[] {
    const deltas: SummaryDelta[] = []
    for (const [name, { summary, rosterHash }] of this.#known) {
      const seq = versions.seqs[name]
      const hash = versions.rosters[name]
      if (seq !== undefined && seq >= summary.seq) continue
      const isWanted = seq === undefined || (hash !== undefined && hash !== rosterHash)
      deltas.push(buildDelta(summary, rosterHash, isWanted))
    }
    return deltas
  }

  /** Takes what a peer told. Returns whether anything but heartbeats changed. */
  takeDeltas (deltas: SummaryDelta[]): boolean {
    let isChanged = false
    for (const delta of deltas) isChanged = this.#takeDelta(delta) || isChanged
    return isChanged
  }

  /** The other data centres. */
  listOthers (): DataCentreView[] {
    const now = performance.now()
    const others = [...this.#known.values()].filter(known => known.summary.dataCentre !== this.#own)
    return others.map(({ summary, heardAtMs }) => ({ ...summary, reached: now - heardAtMs < this.#notReachedAfterMs }))
  }

  /** VMs of the other data centres; `suspect` while their data centre is not reached. `appliedRevision` is the data centre's floor. */
  listOtherVms (): VmView[] {
    return this.listOthers().flatMap(view => view.roster.map(vm => describeVm(vm, view)))
  }

  #takeDelta (delta: SummaryDelta): boolean {
    const known = this.#known.get(delta.d)
    if (known && known.summary.seq >= delta.q) return false
    const roster = delta.roster?.map(entry => ({ ...entry, dataCentre: delta.d, appliedRevision: 0 })) ?? (known?.rosterHash === delta.h ? known.summary.roster : undefined)
    if (roster === undefined) {
      this.#wanted.add(delta.d)
      return false
    }
    this.#wanted.delete(delta.d)
    this.#store({ dataCentre: delta.d, seq: delta.q, floor: delta.f, lagging: delta.l ?? [], down: delta.x ?? [], roster }, delta.h)
    return known?.rosterHash !== delta.h || known.summary.floor !== delta.f
  }

  #store (summary: DataCentreSummary, rosterHash: string): void {
    this.#known.set(summary.dataCentre, { summary, rosterHash, heardAtMs: performance.now() })
  }
}

function buildDelta (summary: DataCentreSummary, rosterHash: string, withRoster: boolean): SummaryDelta {
  const delta: SummaryDelta = { d: summary.dataCentre, q: summary.seq, h: rosterHash, f: summary.floor }
  if (summary.lagging.length > 0) delta.l = summary.lagging
  if (summary.down.length > 0) delta.x = summary.down
  if (withRoster) delta.roster = summary.roster.map(({ vm, incarnation, order, controlUrl, routerUrl, state }) => ({ vm, incarnation, order, controlUrl, routerUrl, state }))
  return delta
}

function hashRoster (roster: VmView[]): string {
  const text = roster.map(view => `${view.vm}/${view.incarnation}/${view.state}/${view.controlUrl}/${view.routerUrl}`).join()
  return hashNumber(text).toString(RADIX)
}

function describeVm (vm: VmView, view: DataCentreView): VmView {
  const state = vm.state === 'live' && !view.reached ? 'suspect' : vm.state
  return { ...vm, state, appliedRevision: view.floor }
}
