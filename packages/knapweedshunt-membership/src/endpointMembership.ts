import type { EndpointName, EndpointView, Incarnation, Liveness, LoadReport, VmId } from 'knapweedshunt-types'
import type { EndpointInfo } from './endpointStatusDelta.ts'
import { DEFAULT_ENDPOINT_OPTIONS } from './endpointOptions.ts'
import type { EndpointOptions } from './endpointOptions.ts'
import { EndpointFailureDetector } from './endpointFailureDetector.ts'
import type { DataPathOutcome } from './endpointFailureDetector.ts'
import type { KnownVm } from './knownVm.ts'
import { findTopRankedVm, hashToUint32, rankVms } from './rankVms.ts'

/** VMs that must report an endpoint as suspect or dead before it is suspect, unless the VM whose report is used does so itself. */
const MIN_SUSPICIONS = 2

/** Endpoints that a VM polls at least, so that it can tell an endpoint's death from the loss of its own links. */
const MIN_POLLED = 4

/** VMs by rank that poll an endpoint which the first one has lost, besides those that have lost most of theirs. */
const MAX_POLLERS = 8

/** Time in which a VM that begins to poll an endpoint notices that it is down, and the others learn it. */
const NEW_POLLER_MS = 4_000

/** A VM that ranks first for an endpoint since a moment ago: what it reported up to a version may be old. */
interface NewPoller {
  version: number
  untilMs: number
}

/** Membership of the endpoints of one data centre. The VMs divide the polling among themselves and exchange the load reports. Performs no I/O. */
export class EndpointMembership {
  readonly #options: EndpointOptions
  readonly #detectors = new Map<EndpointName, EndpointFailureDetector>()
  #names: EndpointName[] = []
  #indexes = new Map<EndpointName, number>()
  #endpointSetHash = ''
  #pollers: VmId[] = []
  #assigned: EndpointName[] = []
  readonly #assignedCounts = new Map<VmId, number>()
  #assignmentKey = ''
  #standby: EndpointName[] = []
  #extra = new Set<EndpointName>()
  #live: VmId[] = []
  #connectedAtMs: number | null = null
  #others = new Map<VmId, KnownVm>()
  #mostlyDown = new Set<VmId>()
  readonly #newPollers = new Map<number, NewPoller>()
  /** Endpoints whose death this VM reports; final until they answer again. */
  readonly #dead = new Set<EndpointName>()

  constructor (options: EndpointOptions = DEFAULT_ENDPOINT_OPTIONS) {
    this.#options = options
  }

  /** Replaces the list of endpoints of the data centre, in any order. */
  setEndpoints (names: EndpointName[]): void {
    this.#names = [...names].sort()
    this.#indexes = new Map(this.#names.map((name, index) => [name, index]))
    this.#endpointSetHash = `${this.#names.length}-${hashToUint32(this.#names.join()).toString(36)}`
    this.#assignmentKey = ''
    this.#pollers = []
    this.#newPollers.clear()
    for (const name of this.#detectors.keys()) if (!this.#indexes.has(name)) this.#detectors.delete(name)
    for (const name of this.#dead) if (!this.#indexes.has(name)) this.#dead.delete(name)
    this.#extra = new Set([...this.#extra].filter(name => this.#indexes.has(name)))
  }

  /** Assigns each endpoint to a live VM by rendezvous hashing. Returns those that this VM polls, with the ones that it polls besides because another VM has lost them. */
  listAssigned (self: KnownVm, live: VmId[], reporters: KnownVm[] = []): EndpointName[] {
    self.endpointStatus.resetForSet(this.#endpointSetHash, self.version + 1)
    if (this.#live.length === 1 && live.length > 1) this.#dead.clear()
    this.#live = live
    this.#updateAssignment(self)
    this.#applyReporters(self, reporters)
    this.#removeReachedFromDead()
    const former = this.#extra
    this.#extra = new Set([...this.#standby, ...this.#listTakenOver(self.view.vm)])
    for (const name of former) if (!this.#extra.has(name)) this.#stopPolling(self, name)
    const answering = [...this.#extra].filter(name => this.#detectors.get(name)?.load)
    self.endpointStatus.updateExtra(answering.map(name => this.#indexes.get(name)!).sort(compareNumbers), self.version + 1)
    return [...this.#assigned, ...this.#extra]
  }

  #updateAssignment (self: KnownVm): void {
    const key = `${this.#endpointSetHash}|${self.view.incarnation}|${this.#live.join()}`
    if (key === this.#assignmentKey) return
    this.#assignmentKey = key
    const { vm } = self.view
    const pollers = this.#names.map(name => findTopRankedVm(name, this.#live) ?? vm)
    this.#recordNewPollers(pollers)
    this.#pollers = pollers
    this.#assignedCounts.clear()
    for (const poller of this.#pollers) this.#assignedCounts.set(poller, (this.#assignedCounts.get(poller) ?? 0) + 1)
    this.#assigned = this.#names.filter((_, index) => this.#pollers[index] === vm)
    const unassigned = this.#names.filter((_, index) => this.#pollers[index] !== vm)
    const missing = Math.max(0, MIN_POLLED - this.#assigned.length)
    this.#standby = missing === 0 ? [] : rankVms(vm, unassigned).slice(0, missing)
    this.#extra = new Set([...this.#extra, ...this.#standby].filter(name => unassigned.includes(name)))
    for (const name of unassigned) if (!this.#extra.has(name)) this.#stopPolling(self, name)
  }

  /** Removes the deaths that this VM reported of endpoints that it no longer polls, once another VM reaches them. */
  #removeReachedFromDead (): void {
    for (const name of this.#dead) {
      const index = this.#indexes.get(name)!
      if (!this.#detectors.has(name) && [...this.#others.keys()].some(vm => this.#isReachedBy(vm, index))) this.#dead.delete(name)
    }
  }

  #recordNewPollers (pollers: VmId[]): void {
    pollers.forEach((vm, index) => {
      const other = this.#others.get(vm)
      if (this.#pollers[index] === undefined || this.#pollers[index] === vm || other === undefined || this.#isPolledBy(other, index)) return
      this.#newPollers.set(index, { version: other.version, untilMs: performance.now() + NEW_POLLER_MS })
    })
  }

  /** Lists the endpoints whose first VM by rank has lost them, perhaps as it is cut off, if no VM between that one and this one reaches them. */
  #listTakenOver (vm: VmId): EndpointName[] {
    const taken: EndpointName[] = []
    for (const [poller, other] of this.#others) {
      for (const index of other.endpointStatus.down.value) {
        if (this.#pollers[index] !== poller || (this.#isDeadBy(other, index) && !this.#mostlyDown.has(other.view.vm))) continue
        const ranked = this.#listCandidates(this.#names[index])
        const rank = ranked.indexOf(vm)
        if (rank > 0 && !ranked.slice(0, rank).some(one => this.#isReachedBy(one, index))) taken.push(this.#names[index])
      }
    }
    return taken
  }

  /** Lists the VMs that may poll an endpoint, by rank. VMs that may be cut off are not counted, so that one which is not has a say. */
  #listCandidates (name: EndpointName): VmId[] {
    const candidates: VmId[] = []
    let connectedCount = 0
    for (const vm of rankVms(name, this.#live)) {
      if (connectedCount === MAX_POLLERS) break
      candidates.push(vm)
      if (!this.#mostlyDown.has(vm)) connectedCount++
    }
    return candidates
  }

  #isReachedBy (vm: VmId, index: number): boolean {
    const other = this.#others.get(vm)
    return other !== undefined && this.#isPolledBy(other, index) && other.endpointStatus.isReached(index) && !this.#isOldReport(other, index)
  }

  #isOldReport ({ view, endpointStatus }: KnownVm, index: number): boolean {
    const newPoller = this.#newPollers.get(index)
    if (newPoller === undefined || this.#pollers[index] !== view.vm || performance.now() >= newPoller.untilMs) return false
    return (endpointStatus.infos.get(index)?.version ?? 0) <= newPoller.version
  }

  #isPolledBy ({ view, endpointStatus }: KnownVm, index: number): boolean {
    return this.#pollers[index] === view.vm || endpointStatus.extra.value?.includes(index) === true || endpointStatus.isUnanswered(index)
  }

  /** Whether a VM considers most of the endpoints that it polls suspect or dead, so that it may be cut off itself. */
  #isMostlyDown ({ view, endpointStatus }: KnownVm): boolean {
    const { down, dead, lost, extra } = endpointStatus
    const others = new Set([...extra.value ?? [], ...dead.value, ...lost.value].filter(index => this.#pollers[index] !== view.vm))
    const polledCount = (this.#assignedCounts.get(view.vm) ?? 0) + others.size
    return 2 * down.value.filter(index => this.#pollers[index] === view.vm || others.has(index)).length > polledCount
  }

  /** Whether an endpoint is dead by a VM's report. A VM of an earlier build reports death without asking whether it is cut off itself. */
  #isDeadBy (other: KnownVm, index: number): boolean {
    const { dead, extra } = other.endpointStatus
    return dead.value.includes(index) && (extra.value !== null || !this.#mostlyDown.has(other.view.vm))
  }

  #applyReporters (self: KnownVm, reporters: KnownVm[]): void {
    this.#others = new Map(reporters.filter(one => one !== self && one.endpointStatus.endpointSetHash === this.#endpointSetHash).map(one => [one.view.vm, one]))
    this.#mostlyDown = new Set([...this.#others.values()].filter(one => this.#isMostlyDown(one)).map(one => one.view.vm))
  }

  /** Records the load report of a polled endpoint; one of an unknown endpoint is ignored. */
  recordLoad (self: KnownVm, load: LoadReport): void {
    const index = this.#indexes.get(load.endpoint)
    if (index === undefined) return
    const detector = this.#getOrCreateDetector(load.endpoint)
    detector.recordLoad(load, this.#countRecoveries(detector, load, index))
    const wasDead = this.#dead.delete(load.endpoint)
    self.endpointStatus.resetForSet(this.#endpointSetHash, self.version + 1)
    self.endpointStatus.updateInfo(buildInfo(index, detector.incarnation, load), self.version + 1)
    self.endpointStatus.updateLoad(index, load, self.version + 1)
    if (wasDead) this.updateDown(self)
  }

  /** Records a poll without an answer. */
  recordUnansweredPoll (endpoint: EndpointName, isRefused: boolean): void {
    if (this.#indexes.has(endpoint)) this.#getOrCreateDetector(endpoint).recordUnansweredPoll(isRefused)
  }

  /** Records the outcome of a request. Returns whether the endpoint's state changed. */
  recordOutcome (endpoint: EndpointName, outcome: DataPathOutcome): boolean {
    if (!this.#indexes.has(endpoint)) return false
    const detector = this.#getOrCreateDetector(endpoint)
    const before = detector.evaluate()
    detector.recordOutcome(outcome)
    return detector.evaluate() !== before
  }

  /** Updates this VM's own report of which endpoints it considers suspect or dead. */
  updateDown (self: KnownVm): void {
    const down: number[] = []
    const dead: number[] = []
    const lost: number[] = []
    const isConnected = this.#updateConnected()
    for (const [name, detector] of this.#detectors) {
      const index = this.#indexes.get(name)!
      const state = detector.evaluate()
      if (state !== 'live') down.push(index)
      if (state !== 'dead') this.#dead.delete(name)
      else if (isConnected || this.#isDeathConfirmed(name, index, self.view.vm)) this.#dead.add(name)
      if (state === 'dead') (this.#dead.has(name) ? dead : lost).push(index)
    }
    for (const name of this.#dead) {
      if (this.#detectors.has(name)) continue
      down.push(this.#indexes.get(name)!)
      dead.push(this.#indexes.get(name)!)
    }
    for (const indexes of [down, dead, lost]) indexes.sort(compareNumbers)
    self.endpointStatus.resetForSet(this.#endpointSetHash, self.version + 1)
    // Later changes get a later version, or they would hold this one back in a delta that has the endpoint's new incarnation.
    if (self.endpointStatus.updateDown({ down, dead, lost }, self.version + 1)) self.version++
  }

  /** Updates since when this VM is connected. Returns whether that is long enough for each of its endpoints to have been polled since. */
  #updateConnected (): boolean {
    this.#connectedAtMs = this.#hasLinks() ? this.#connectedAtMs ?? performance.now() : null
    return this.#connectedAtMs !== null && performance.now() - this.#connectedAtMs >= this.#options.suspectAfterMs
  }

  /** Whether at least half of the polled endpoints answer this VM, those known as dead left out. */
  #hasLinks (): boolean {
    const polled = [...this.#detectors].filter(([name, one]) => one.isPolled && !this.#dead.has(name))
    const reached = polled.filter(([, one]) => one.isReached).length
    return reached > 0 && 2 * reached >= polled.length
  }

  /** Whether another VM reports the death, or every VM that polls an endpoint which others have lost polls this one in vain. One of an earlier build does not poll it and leaves it unconfirmed. */
  #isDeathConfirmed (name: EndpointName, index: number, vm: VmId): boolean {
    const others = [...this.#others.values()].filter(one => this.#isPolledBy(one, index))
    if (others.some(one => this.#isReachedBy(one.view.vm, index))) return false
    if (others.some(one => this.#isDeadBy(one, index))) return true
    const candidates = this.#listCandidates(name).filter(one => one !== vm)
    return candidates.every(one => {
      const status = this.#others.get(one)?.endpointStatus
      return status === undefined || status.isUnanswered(index)
    })
  }

  /** Counts the recoveries of an endpoint that answers this VM for the first time, or again: as many as other VMs know, and one more if it was dead for all. Undefined while it goes on answering. */
  #countRecoveries (detector: EndpointFailureDetector, { endpoint, incarnation }: LoadReport, index: number): number | undefined {
    const isKnown = detector.load?.incarnation === incarnation
    if (isKnown && detector.evaluate() !== 'dead') return undefined
    const others = [...this.#others.values()]
    const known = [...others.map(one => one.endpointStatus.infos.get(index)?.value.incarnation ?? ''), detector.incarnation]
    const recoveries = Math.max(0, ...known.map(one => parseRecoveries(one, incarnation)))
    const isReached = others.some(one => this.#isReachedBy(one.view.vm, index))
    const wasKnown = known.some(one => one === incarnation || one.startsWith(`${incarnation}~`))
    const dead = others.filter(one => this.#isDeadBy(one, index)).map(one => one.endpointStatus.infos.get(index)?.value.incarnation ?? '')
    if (this.#dead.has(endpoint)) dead.push(detector.incarnation)
    const isLastDead = dead.some(one => parseRecoveries(one, incarnation) === recoveries)
    return wasKnown && isLastDead && !isReached ? recoveries + 1 : recoveries
  }

  /** Lists the endpoints of the data centre of which this VM or another has a report or a failure. */
  listEndpoints (self: KnownVm, reporters: KnownVm[]): EndpointView[] {
    this.#applyReporters(self, reporters)
    const suspicionCounts = countSuspicions([...this.#others.values()].filter(one => !this.#mostlyDown.has(one.view.vm)))
    return this.#names.map((name, index) => this.#describe(name, index, suspicionCounts)).filter(view => view !== null)
  }

  /** Lists the endpoints that are out of service for the data centre. One that this VM does not reach is in service if another one reaches it. */
  listOutOfService (self: KnownVm, reporters: KnownVm[]): EndpointName[] {
    const views = this.listEndpoints(self, reporters)
    const isReached = (endpoint: EndpointName) => {
      const index = this.#indexes.get(endpoint)!
      return [...this.#others.keys()].some(vm => this.#isReachedBy(vm, index))
    }
    const isOut = ({ endpoint, state, load }: EndpointView) => load?.role === 'drain' || (state !== 'live' && !(this.#detectors.get(endpoint)?.isPolled && isReached(endpoint)))
    return views.filter(isOut).map(view => view.endpoint)
  }

  #describe (name: EndpointName, index: number, suspicionCounts: Map<number, number>): EndpointView | null {
    const own = this.#detectors.get(name)
    if (own?.isPolled && own.load) return this.#describePolled(name, own)
    const poller = this.#others.get(this.#pollers[index])
    const reporters = [...(poller ? [poller] : []), ...this.#others.values()].filter(one => one.endpointStatus.infos.has(index))
    const reaching = reporters.find(one => this.#isReachedBy(one.view.vm, index))
    const reporter = reaching ?? reporters[0]
    const isReportedDead = this.#dead.has(name) || [...this.#others.values()].some(one => this.#isDeadBy(one, index))
    if (reporter) return this.#describeReported(name, index, reporter, own, { suspicions: suspicionCounts.get(index) ?? 0, isDead: isReportedDead && reaching === undefined })
    if (own?.isPolled) return this.#describePolled(name, own)
    const isDown = own !== undefined || poller?.endpointStatus.down.value.includes(index)
    return isDown ? { endpoint: name, incarnation: '', state: own?.evaluate() ?? 'suspect', weightsVersion: null, load: null, loadAgeMs: 0 } : null
  }

  #describePolled (endpoint: EndpointName, own: EndpointFailureDetector): EndpointView {
    const { load, incarnation, silentMs } = own
    return { endpoint, incarnation, state: own.evaluate(), weightsVersion: load?.weightsVersion ?? null, load, loadAgeMs: silentMs }
  }

  #describeReported (endpoint: EndpointName, index: number, reporter: KnownVm, own: EndpointFailureDetector | undefined, { suspicions, isDead }: { suspicions: number, isDead: boolean }): EndpointView {
    const { infos, loads, down } = reporter.endpointStatus
    const { i: _, ...info } = infos.get(index)!.value
    const { incarnation, weightsVersion } = info
    const ageMs = performance.now() - reporter.lastHeartbeatAtMs
    const isStale = ageMs >= this.#options.deadAfterMs
    const isLocallySuspect = own !== undefined && own.evaluate() !== 'live'
    const isSuspect = down.value.includes(index) || suspicions >= MIN_SUSPICIONS || isStale || isLocallySuspect
    const state: Liveness = isDead ? 'dead' : isSuspect ? 'suspect' : 'live'
    const reportedLoad = loads.get(index)?.value
    const load: LoadReport | null = reportedLoad ? { endpoint, ...info, ...reportedLoad, atMs: 0 } : null
    return { endpoint, incarnation, state, weightsVersion, load, loadAgeMs: ageMs }
  }

  #stopPolling (self: KnownVm, name: EndpointName): void {
    if (this.#assigned.includes(name)) return
    const index = this.#indexes.get(name)
    if (index !== undefined) self.endpointStatus.removeEndpoint(index)
    this.#detectors.delete(name)
  }

  #getOrCreateDetector (name: EndpointName): EndpointFailureDetector {
    const known = this.#detectors.get(name)
    if (known) return known
    const detector = new EndpointFailureDetector(this.#options)
    this.#detectors.set(name, detector)
    return detector
  }
}

function buildInfo (i: number, incarnation: Incarnation, { weightsVersion, adapter, softwareVersion, role }: LoadReport): EndpointInfo {
  return { i, incarnation, weightsVersion, ...(adapter ? { adapter } : {}), ...(softwareVersion ? { softwareVersion } : {}), ...(role && role !== 'serve' ? { role } : {}) }
}

/** Counts the recoveries in an incarnation of {@link EndpointFailureDetector}; 0 if it belongs to another start of the endpoint. */
function parseRecoveries (known: Incarnation, incarnation: Incarnation): number {
  return known.startsWith(`${incarnation}~`) ? Number(known.slice(incarnation.length + 1)) || 0 : 0
}

function countSuspicions (reporters: KnownVm[]): Map<number, number> {
  const counts = new Map<number, number>()
  for (const reporter of reporters) {
    for (const index of reporter.endpointStatus.down.value) counts.set(index, (counts.get(index) ?? 0) + 1)
  }
  return counts
}

function compareNumbers (a: number, b: number): number {
  return a - b
}
