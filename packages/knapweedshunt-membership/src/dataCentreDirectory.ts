import type { DataCentreId, EndpointName, VmView } from 'knapweedshunt-types'
import { hashToUint32 } from './rankVms.ts'
import type { DataCentreSummary, SummaryDelta, SummaryVersions } from './dataCentreSummary.ts'
import { DEFAULT_MEMBERSHIP_OPTIONS } from './membershipOptions.ts'

interface KnownDataCentre {
  summary: DataCentreSummary
  rosterHash: string
  updatedAtMs: number
}

/** Another data centre's summary and its reachability. */
export interface DataCentreView extends DataCentreSummary {
  /** Whether a newer summary arrived recently. */
  reached: boolean
}

const MAX_LAGGING_VMS = 5
const HASH_RADIX = 36

/** Length of one sequence number step, in milliseconds: numbers are taken from the wall clock, or from the last known summary if that is ahead. */
const SEQ_UNIT_MS = 100

/** Summaries of all known data centres, this one's included. Performs no I/O. */
export class DataCentreDirectory {
  readonly #ownName: DataCentreId
  readonly #unreachableAfterMs: number
  readonly #known = new Map<DataCentreId, KnownDataCentre>()
  /** Data centres with a newer summary whose roster this VM does not have; the summary is not applied until the roster arrives. */
  readonly #missingRosters = new Set<DataCentreId>()

  constructor (ownName: DataCentreId, unreachableAfterMs: number = DEFAULT_MEMBERSHIP_OPTIONS.unreachableAfterMs) {
    this.#ownName = ownName
    this.#unreachableAfterMs = unreachableAfterMs
  }

  /** Age of this data centre's summary, in milliseconds; Infinity when there is none. */
  get ownAgeMs (): number {
    const known = this.#known.get(this.#ownName)
    return known === undefined ? Infinity : performance.now() - known.updatedAtMs
  }

  /** Writes a new summary of this data centre. Called by its gateway VMs only. */
  updateOwn (vms: VmView[], down: EndpointName[]): void {
    const roster = vms.map(view => ({ ...view, appliedRevision: 0 })).sort((a, b) => a.vm < b.vm ? -1 : 1)
    const activeVms = vms.filter(view => view.state === 'live' || view.state === 'suspect')
    const floor = activeVms.length === 0 ? 0 : Math.min(...activeVms.map(view => view.appliedRevision))
    const atFloor = activeVms.filter(view => view.appliedRevision === floor).map(view => view.vm)
    const lagging = atFloor.length === activeVms.length ? [] : atFloor.slice(0, MAX_LAGGING_VMS)
    const seq = Math.max(Math.floor(Date.now() / SEQ_UNIT_MS), (this.#known.get(this.#ownName)?.summary.seq ?? 0) + 1)
    this.#store({ dataCentre: this.#ownName, seq, floor, lagging, down, roster }, hashRoster(roster))
  }

  /** Builds the digest of the summaries that this VM has, and requests the missing rosters. */
  buildVersions (): SummaryVersions {
    const versions: SummaryVersions = { seqs: {}, rosters: {} }
    for (const [name, { summary }] of this.#known) versions.seqs[name] = summary.seq
    for (const name of this.#missingRosters) versions.rosters[name] = this.#known.get(name)?.rosterHash ?? ''
    return versions
  }

  /** Builds the deltas that a peer with these versions lacks. */
  buildDeltas (versions: SummaryVersions): SummaryDelta[] {
    const deltas: SummaryDelta[] = []
    for (const [name, { summary, rosterHash }] of this.#known) {
      const seq = versions.seqs[name]
      const hash = versions.rosters[name]
      if (seq !== undefined && seq >= summary.seq) continue
      const needsRoster = seq === undefined || (hash !== undefined && hash !== rosterHash)
      deltas.push(buildDelta(summary, rosterHash, needsRoster))
    }
    return deltas
  }

  /** Applies the deltas of a peer. Returns whether a roster or a floor changed. */
  applyDeltas (deltas: SummaryDelta[]): boolean {
    let isChanged = false
    for (const delta of deltas) isChanged = this.#applyDelta(delta) || isChanged
    return isChanged
  }

  /** Lists the other data centres with their reachability. */
  listOthers (): DataCentreView[] {
    const now = performance.now()
    const others = [...this.#known.values()].filter(known => known.summary.dataCentre !== this.#ownName)
    return others.map(({ summary, updatedAtMs: heardAtMs }) => ({ ...summary, reached: now - heardAtMs < this.#unreachableAfterMs }))
  }

  /** Lists the VMs of the other data centres; a live one is `suspect` while its data centre is unreachable. `appliedRevision` is the data centre's floor. */
  listOtherVms (): VmView[] {
    return this.listOthers().flatMap(view => view.roster.map(vm => describeVm(vm, view)))
  }

  #applyDelta (delta: SummaryDelta): boolean {
    const known = this.#known.get(delta.d)
    if (known && known.summary.seq >= delta.q) return false
    const roster = delta.roster?.map(entry => ({ ...entry, dataCentre: delta.d, appliedRevision: 0 })) ?? (known?.rosterHash === delta.h ? known.summary.roster : undefined)
    if (roster === undefined) {
      this.#missingRosters.add(delta.d)
      return false
    }
    this.#missingRosters.delete(delta.d)
    this.#store({ dataCentre: delta.d, seq: delta.q, floor: delta.f, lagging: delta.l ?? [], down: delta.x ?? [], roster }, delta.h)
    return known?.rosterHash !== delta.h || known.summary.floor !== delta.f
  }

  #store (summary: DataCentreSummary, rosterHash: string): void {
    this.#known.set(summary.dataCentre, { summary, rosterHash, updatedAtMs: performance.now() })
  }
}

function buildDelta (summary: DataCentreSummary, rosterHash: string, hasRoster: boolean): SummaryDelta {
  const delta: SummaryDelta = { d: summary.dataCentre, q: summary.seq, h: rosterHash, f: summary.floor }
  if (summary.lagging.length > 0) delta.l = summary.lagging
  if (summary.down.length > 0) delta.x = summary.down
  if (hasRoster) delta.roster = summary.roster.map(({ vm, incarnation, order, controlUrl, routerUrl, state }) => ({ vm, incarnation, order, controlUrl, routerUrl, state }))
  return delta
}

function hashRoster (roster: VmView[]): string {
  const text = roster.map(view => `${view.vm}/${view.incarnation}/${view.state}/${view.controlUrl}/${view.routerUrl}`).join()
  return hashToUint32(text).toString(HASH_RADIX)
}

function describeVm (vm: VmView, view: DataCentreView): VmView {
  const state = vm.state === 'live' && !view.reached ? 'suspect' : vm.state
  return { ...vm, state, appliedRevision: view.floor }
}
