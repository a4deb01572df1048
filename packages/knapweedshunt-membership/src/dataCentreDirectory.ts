import type { DataCentreId, EndpointName, VmView } from 'knapweedshunt-types'
import { hashNumber } from './rankVms.ts'
import type { DataCentreSummary, SummaryDelta, SummaryVersions } from './dataCentreSummary.ts'
import { DEFAULT_MEMBERSHIP_OPTIONS } from './membershipOptions.ts'

interface KnownDataCentre {
  summary: DataCentreSummary
  rosterHash: string
  stateHash: string
  heardAtMs: number
}

/** Another data centre's summary and whether it was heard of lately. */
export interface DataCentreView extends DataCentreSummary {
  reached: boolean
}

const LAGGING_LIMIT = 5
const RADIX = 36

/** The data centres' summaries, this one's included. Opens nothing. */
export class DataCentreDirectory {
  readonly #own: DataCentreId
  readonly #notReachedAfterMs: number
  readonly #known = new Map<DataCentreId, KnownDataCentre>()

  constructor (own: DataCentreId, notReachedAfterMs: number = DEFAULT_MEMBERSHIP_OPTIONS.notReachedAfterMs) {
    this.#own = own
    this.#notReachedAfterMs = notReachedAfterMs
  }

  /** Writes this data centre's summary anew. Done by the VMs that speak for it. */
  writeOwn (vms: VmView[], down: EndpointName[]): void {
    const roster = vms.map(view => ({ ...view, appliedRevision: 0 })).sort((a, b) => a.vm < b.vm ? -1 : 1)
    const counted = vms.filter(view => view.state === 'live' || view.state === 'suspect')
    const floor = counted.length === 0 ? 0 : Math.min(...counted.map(view => view.appliedRevision))
    const behind = counted.filter(view => view.appliedRevision === floor).map(view => view.vm)
    const lagging = behind.length === counted.length ? [] : behind.slice(0, LAGGING_LIMIT)
    const seq = Math.max(Date.now(), (this.#known.get(this.#own)?.summary.seq ?? 0) + 1)
    this.#store({ dataCentre: this.#own, seq, floor, lagging, down, roster })
  }

  /** What this VM has. */
  buildVersions (): SummaryVersions {
    const versions: SummaryVersions = {}
    for (const [name, { summary, rosterHash, stateHash }] of this.#known) versions[name] = `${summary.seq.toString(RADIX)}.${rosterHash}.${stateHash}`
    return versions
  }

  /** What a peer with these versions lacks. */
  buildDeltas (versions: SummaryVersions): SummaryDelta[] {
    const deltas: SummaryDelta[] = []
    for (const [name, known] of this.#known) {
      const [seq, rosterHash, stateHash] = (versions[name] ?? '').split('.')
      const { summary } = known
      if (seq && parseInt(seq, RADIX) >= summary.seq) continue
      const delta: SummaryDelta = { d: name, q: summary.seq, h: `${known.rosterHash}.${known.stateHash}` }
      if (stateHash !== known.stateHash) delta.state = { floor: summary.floor, lagging: summary.lagging, down: summary.down }
      if (rosterHash !== known.rosterHash) delta.roster = summary.roster
      deltas.push(delta)
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
    const [rosterHash, stateHash] = delta.h.split('.')
    const roster = delta.roster ?? (known?.rosterHash === rosterHash ? known.summary.roster : undefined)
    const state = delta.state ?? (known?.stateHash === stateHash ? known.summary : undefined)
    if (roster === undefined || state === undefined) return false
    const { floor, lagging, down } = state
    this.#store({ dataCentre: delta.d, seq: delta.q, floor, lagging, down, roster })
    return known?.rosterHash !== rosterHash || known.stateHash !== stateHash
  }

  #store (summary: DataCentreSummary): void {
    const known = this.#known.get(summary.dataCentre)
    const { roster, floor, lagging, down } = summary
    const rosterHash = known?.summary.roster === roster ? known.rosterHash : hashRoster(roster)
    const stateHash = hashNumber(`${floor}/${lagging.join()}/${down.join()}`).toString(RADIX)
    this.#known.set(summary.dataCentre, { summary, rosterHash, stateHash, heardAtMs: performance.now() })
  }
}

function hashRoster (roster: VmView[]): string {
  const text = roster.map(view => `${view.vm}/${view.incarnation}/${view.state}/${view.controlUrl}/${view.routerUrl}`).join()
  return hashNumber(text).toString(RADIX)
}

function describeVm (vm: VmView, view: DataCentreView): VmView {
  const state = vm.state === 'live' && !view.reached ? 'suspect' : vm.state
  return { ...vm, state, appliedRevision: view.floor }
}
