import type { EndpointName, EndpointView, Incarnation, Liveness, LoadReport, VmId } from 'knapweedshunt-types'
import type { EndpointInfo } from './endpointStatusDelta.ts'
import { DEFAULT_ENDPOINT_OPTIONS } from './endpointOptions.ts'
import type { EndpointOptions } from './endpointOptions.ts'
import { EndpointFailureDetector } from './endpointFailureDetector.ts'
import type { DataPathOutcome } from './endpointFailureDetector.ts'
import type { KnownVm } from './knownVm.ts'
import { findTopRankedVm, hashToUint32 } from './rankVms.ts'

/** VMs that must report an endpoint as suspect or dead before it is suspect, unless the VM whose report is used does so itself. */
const MIN_SUSPICIONS = 2

/** Membership of the endpoints of one data centre. The VMs divide the polling among themselves and exchange the load reports. Performs no I/O. */
export class EndpointMembership {
  readonly #options: EndpointOptions
  readonly #detectors = new Map<EndpointName, EndpointFailureDetector>()
  #names: EndpointName[] = []
  #indexes = new Map<EndpointName, number>()
  #endpointSetHash = ''
  #pollers: VmId[] = []
  #assigned: EndpointName[] = []
  #assignmentKey = ''

  constructor (options: EndpointOptions = DEFAULT_ENDPOINT_OPTIONS) {
    this.#options = options
  }

  /** Replaces the list of endpoints of the data centre, in any order. */
  setEndpoints (names: EndpointName[]): void {
    this.#names = [...names].sort()
    this.#indexes = new Map(this.#names.map((name, index) => [name, index]))
    this.#endpointSetHash = `${this.#names.length}-${hashToUint32(this.#names.join()).toString(36)}`
    this.#assignmentKey = ''
    for (const name of this.#detectors.keys()) if (!this.#indexes.has(name)) this.#detectors.delete(name)
  }

  /** Assigns each endpoint to a live VM by rendezvous hashing. Returns those that this VM polls. */
  listAssigned (self: KnownVm, live: VmId[]): EndpointName[] {
    self.endpointStatus.resetForSet(this.#endpointSetHash, self.version + 1)
    const key = `${this.#endpointSetHash}|${self.view.incarnation}|${live.join()}`
    if (key === this.#assignmentKey) return this.#assigned
    this.#assignmentKey = key
    const { vm } = self.view
    this.#pollers = this.#names.map(name => findTopRankedVm(name, live) ?? vm)
    this.#assigned = this.#names.filter((_, index) => this.#pollers[index] === vm)
    this.#names.forEach((name, index) => {
      if (this.#pollers[index] !== vm) this.#removeEndpoint(self, name, index)
    })
    return this.#assigned
  }

  /** Records the load report of a polled endpoint; one of an unknown endpoint is ignored. */
  recordLoad (self: KnownVm, load: LoadReport): void {
    const index = this.#indexes.get(load.endpoint)
    if (index === undefined) return
    const detector = this.#getOrCreateDetector(load.endpoint)
    detector.recordLoad(load)
    self.endpointStatus.resetForSet(this.#endpointSetHash, self.version + 1)
    self.endpointStatus.updateInfo(buildInfo(index, detector.incarnation, load), self.version + 1)
    self.endpointStatus.updateLoad(index, load, self.version + 1)
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
    for (const [name, detector] of this.#detectors) {
      const index = this.#indexes.get(name)
      const state = detector.evaluate()
      if (index !== undefined && state !== 'live') down.push(index)
      if (index !== undefined && state === 'dead') dead.push(index)
    }
    self.endpointStatus.resetForSet(this.#endpointSetHash, self.version + 1)
    self.endpointStatus.updateDown(down.sort(compareNumbers), dead.sort(compareNumbers), self.version + 1)
  }

  /** Lists the endpoints of the data centre of which this VM or another has a report or a failure. */
  listEndpoints (self: KnownVm, reporters: KnownVm[]): EndpointView[] {
    const reporterByVm = new Map(reporters.filter(one => one !== self && one.endpointStatus.endpointSetHash === this.#endpointSetHash).map(one => [one.view.vm, one]))
    const suspicionCounts = countSuspicions([...reporterByVm.values()])
    return this.#names.map((name, index) => this.#describe(name, index, reporterByVm, suspicionCounts)).filter(view => view !== null)
  }

  #describe (name: EndpointName, index: number, reporterByVm: Map<VmId, KnownVm>, suspicionCounts: Map<number, number>): EndpointView | null {
    const own = this.#detectors.get(name)
    if (own?.isPolled) return this.#describePolled(name, own)
    const poller = reporterByVm.get(this.#pollers[index])
    const reporter = poller?.endpointStatus.infos.has(index) ? poller : [...reporterByVm.values()].find(one => one.endpointStatus.infos.has(index))
    if (reporter) return this.#describeReported(name, index, reporter, own, suspicionCounts.get(index) ?? 0)
    const isDown = own !== undefined || poller?.endpointStatus.down.value.includes(index)
    return isDown ? { endpoint: name, incarnation: '', state: own?.evaluate() ?? 'suspect', weightsVersion: null, load: null, loadAgeMs: 0 } : null
  }

  #describePolled (endpoint: EndpointName, own: EndpointFailureDetector): EndpointView {
    const { load, incarnation, silentMs } = own
    return { endpoint, incarnation, state: own.evaluate(), weightsVersion: load?.weightsVersion ?? null, load, loadAgeMs: silentMs }
  }

  #describeReported (endpoint: EndpointName, index: number, reporter: KnownVm, own: EndpointFailureDetector | undefined, suspicions: number): EndpointView {
    const { infos, loads, down, dead } = reporter.endpointStatus
    const { i: _, ...info } = infos.get(index)!.value
    const { incarnation, weightsVersion } = info
    const ageMs = performance.now() - reporter.lastHeartbeatAtMs
    const isStale = ageMs >= this.#options.deadAfterMs
    const isLocallySuspect = own !== undefined && own.evaluate() !== 'live'
    const isSuspect = down.value.includes(index) || suspicions >= MIN_SUSPICIONS || isStale || isLocallySuspect
    const state: Liveness = dead.value.includes(index) ? 'dead' : isSuspect ? 'suspect' : 'live'
    const reportedLoad = loads.get(index)?.value
    const load: LoadReport | null = reportedLoad ? { endpoint, ...info, ...reportedLoad, atMs: 0 } : null
    return { endpoint, incarnation, state, weightsVersion, load, loadAgeMs: ageMs }
  }

  #removeEndpoint (self: KnownVm, name: EndpointName, index: number): void {
    self.endpointStatus.removeEndpoint(index)
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
