import { setMaxListeners } from 'node:events'
import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { PoolVersionsRow } from '../directory/rosterRows.ts'
import { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { PeerView } from '../peers/peerAddress.ts'
import { StreamOrigins } from '../peers/streamOrigins.ts'
import type { StreamIdentity } from '../peers/streamOrigins.ts'
import { DecisionLog } from '../records/decisionLog.ts'
import { buildVersionEntry, POOL } from './buildVersionEntry.ts'
import { callPeer } from './callPeer.ts'
import { EMPTY_STREAM_ROWS } from './emptyStreamRows.ts'

const ENDPOINT_COUNT = 6
const RETENTION_MS = 8_000
const TICK_MS = 250
const POLL_WAIT_MS = 1_500
const POLL_TIMEOUT_MS = 700
const POLL_RETRY_MS = 300

/** Time for which an endpoint serves after it has left the directory, in milliseconds. */
const LEAVING_MS = 3_000

const LOG = { debug () {}, info () {}, warn () {}, error () {} }

/** What a VM that is out of step lacks. */
export type OutOfStepFault =
  /** The store. */
  | 'store'
  /** The VMs that do not have the fault. */
  | 'peers'
  /** The store and the VMs that do not have the fault. */
  | 'storeAndPeers'
  /** The store and all other VMs. */
  | 'all'
  /** It stands still. */
  | 'standstill'
  /** It ends and starts again without what it knew. */
  | 'restart'

/** Changes of the endpoints while some VMs are out of step. */
export interface OutOfStepScenario {
  seed: number
  vmCount: number
  dataCentreCount: number
  /** Times at which endpoints of the next version replace the others one by one; after `rolledBackMs` the former ones replace these again, all at once. */
  releases: Array<{ atMs: number, gapMs: number, count: number, rolledBackMs: number | null }>
  /** Which VMs have a fault, as bits. */
  faults: Array<{ atMs: number, durationMs: number, vms: number, type: OutOfStepFault }>
  maxTakeUpMs: number
  /** Whether callers name their first request. */
  isFirstNamed: boolean
}

interface SimulatedEndpoint { endpoint: string, softwareVersion: string }

interface SimulatedVm {
  view: PeerView
  start: number
  origins: StreamOrigins
  registry: EndpointRegistry
  faults: Set<OutOfStepScenario['faults'][number]>
  /** Time at which the last answered poll was sent. */
  confirmedAtMs: number
  /** Ends the poll under way. */
  wake: () => void
  abort: AbortController
}

/** Simulates VMs that begin streams and look up their software versions while some are cut off, stand still or restart. Runs on the fake clock. */
export class OutOfStepSimulation {
  readonly #scenario: OutOfStepScenario
  readonly #rng: Rng
  readonly #vms: SimulatedVm[] = []
  #row: PoolVersionsRow | null = null
  #endpoints: SimulatedEndpoint[] = Array.from({ length: ENDPOINT_COUNT }, (_, n) => ({ endpoint: `e${n}`, softwareVersion: 'v1' }))
  readonly #leaving = new Set<string>()
  #endpointNumber = 0
  #version = 1
  readonly counts = { begun: 0, notBegun: 0, asked: 0, known: 0, wrong: 0 }

  constructor (scenario: OutOfStepScenario) {
    this.#scenario = scenario
    this.#rng = createRng(scenario.seed)
  }

  start (): void {
    for (let n = 0; n < this.#scenario.vmCount; n++) this.#vms.push(this.#createVm(n, 0))
    for (const vm of this.#vms) this.#pollEndpoints(vm)
    for (const release of this.#scenario.releases) setTimeout(() => this.#release(release), release.atMs)
    for (const fault of this.#scenario.faults) setTimeout(() => this.#applyFault(fault), fault.atMs)
    setInterval(() => this.#beginStream(), 40)
    setInterval(() => {
      for (const vm of this.#vms) if (!this.#hasFault(vm, 'standstill')) vm.origins.updateVersions()
    }, TICK_MS)
  }

  #createVm (n: number, start: number): SimulatedVm {
    const view: PeerView = { vm: `vm-${n}`, dataCentre: `z${n % this.#scenario.dataCentreCount}`, address: { url: '', key: String(start) } }
    const registry = new EndpointRegistry(() => {}, () => {}, () => {})
    const abort = new AbortController()
    setMaxListeners(0, abort.signal)
    const vm: SimulatedVm = { view, start, registry, abort, faults: new Set(), confirmedAtMs: -Infinity, wake: () => {}, origins: null as unknown as StreamOrigins }
    vm.origins = new StreamOrigins({
      vm: view.vm,
      dataCentre: view.dataCentre,
      endpointRegistry: registry,
      decisionLog: new DecisionLog(LOG),
      ...EMPTY_STREAM_ROWS,
      signal: vm.abort.signal,
      listPeers: () => this.#vms.filter(other => other.view.vm !== view.vm).map(other => other.view),
      call: (target, method, params) => callPeer(() => this.#findPeer(vm, target), method, params),
      getRetentionMs: () => RETENTION_MS,
      getEndpointsAgeMs: () => performance.now() - vm.confirmedAtMs,
      isVersionsWriter: () => n === 0,
      writePoolVersions: async row => {
        if (!this.#canReachStore(vm)) throw new Error('no answer')
        this.#row = row
        for (const other of this.#vms) if (this.#canReachStore(other)) other.origins.applyPoolVersions(row)
      }
    })
    return vm
  }

  #hasFault (vm: SimulatedVm, ...types: OutOfStepFault[]): boolean {
    return [...vm.faults].some(({ type }) => types.includes(type))
  }

  #canReachStore (vm: SimulatedVm): boolean {
    return !this.#hasFault(vm, 'store', 'storeAndPeers', 'all', 'standstill')
  }

  #canReach (a: SimulatedVm, b: SimulatedVm): boolean {
    if (this.#hasFault(a, 'all', 'standstill') || this.#hasFault(b, 'all', 'standstill')) return false
    return [...a.faults, ...b.faults].every(fault => (fault.type !== 'peers' && fault.type !== 'storeAndPeers') || (a.faults.has(fault) && b.faults.has(fault)))
  }

  #findPeer (from: SimulatedVm, target: PeerView): StreamOrigins | null {
    const vm = this.#vms.find(one => one.view.vm === target.vm)
    return vm === undefined || !this.#canReach(from, vm) || vm.view.address.key !== target.address.key ? null : vm.origins
  }

  /** Long polls as the table follower sends them: answered at a change or after their wait; the age counts from when they were sent. */
  #pollEndpoints (vm: SimulatedVm): void {
    const sentAtMs = performance.now()
    if (!this.#canReachStore(vm)) return this.#schedulePoll(vm, POLL_RETRY_MS)
    this.#readEndpoints(vm, sentAtMs)
    const timer = setTimeout(() => vm.wake(), POLL_WAIT_MS)
    vm.wake = () => {
      clearTimeout(timer)
      vm.wake = () => {}
      if (!this.#canReachStore(vm)) return this.#schedulePoll(vm, POLL_TIMEOUT_MS)
      this.#readEndpoints(vm, sentAtMs)
      this.#schedulePoll(vm, this.#rng.drawInt(500))
    }
  }

  #schedulePoll (vm: SimulatedVm, delayMs: number): void {
    setTimeout(() => { if (this.#vms.includes(vm)) this.#pollEndpoints(vm) }, delayMs)
  }

  #readEndpoints (vm: SimulatedVm, sentAtMs: number): void {
    vm.confirmedAtMs = sentAtMs
    if (this.#row !== null) vm.origins.applyPoolVersions(this.#row)
    vm.registry.applySnapshot(this.#endpoints.map(({ endpoint, softwareVersion }) => buildVersionEntry(endpoint, softwareVersion)), [], null)
    vm.origins.updateVersions()
  }

  #release ({ gapMs, count, rolledBackMs }: OutOfStepScenario['releases'][number]): void {
    const former = this.#endpoints[0].softwareVersion
    const version = `v${++this.#version}`
    for (let n = 0; n < Math.min(count, ENDPOINT_COUNT); n++) setTimeout(() => this.#replaceEndpoints(1, version), n * gapMs)
    if (rolledBackMs !== null) setTimeout(() => this.#replaceEndpoints(ENDPOINT_COUNT, former), rolledBackMs)
  }

  #replaceEndpoints (count: number, softwareVersion: string): void {
    const left = this.#endpoints.slice(0, count)
    for (const { endpoint } of left) {
      this.#leaving.add(endpoint)
      setTimeout(() => this.#leaving.delete(endpoint), LEAVING_MS)
    }
    this.#endpoints = [...this.#endpoints.slice(count), ...left.map(() => ({ endpoint: `n${this.#endpointNumber++}`, softwareVersion }))]
    for (const vm of this.#vms) setTimeout(() => vm.wake(), this.#rng.drawInt(20))
  }

  #applyFault (fault: OutOfStepScenario['faults'][number]): void {
    const hit = this.#vms.filter((_, n) => (fault.vms >> n & 1) === 1)
    if (fault.type === 'restart') return hit.forEach(vm => this.#restart(vm))
    for (const vm of hit) vm.faults.add(fault)
    setTimeout(() => {
      for (const vm of hit) vm.faults.delete(fault)
    }, fault.durationMs)
  }

  #restart (vm: SimulatedVm): void {
    const n = this.#vms.indexOf(vm)
    vm.abort.abort()
    const started = this.#createVm(n, vm.start + 1)
    for (const fault of vm.faults) started.faults.add(fault)
    this.#vms[n] = started
    this.#schedulePoll(started, 1_000)
  }

  #beginStream (): void {
    const vm = this.#vms[this.#rng.drawInt(this.#vms.length)]
    if (this.#hasFault(vm, 'standstill') || vm.registry.size === 0) return
    const identity = { organisation: 'org', pool: POOL, firstRequestId: `r${this.#rng.drawInt(2 ** 30)}-${performance.now()}` }
    const serving = vm.registry.list(POOL).filter(({ entry }) => this.#leaving.has(entry.endpoint) || this.#endpoints.some(({ endpoint }) => endpoint === entry.endpoint))
    const usable = serving.filter(({ entry }) => vm.origins.canBegin(identity, entry.softwareVersion))
    if (usable.length === 0) {
      this.counts.notBegun++
      return
    }
    this.counts.begun++
    const { softwareVersion } = usable[this.#rng.drawInt(usable.length)].entry
    vm.origins.recordBegan(identity, softwareVersion)
    setTimeout(() => {
      this.#takeUp(identity, softwareVersion).catch(error => { throw error })
    }, 10 + this.#rng.drawInt(this.#scenario.maxTakeUpMs))
  }

  async #takeUp (identity: StreamIdentity, softwareVersion: string): Promise<void> {
    const vm = this.#vms[this.#rng.drawInt(this.#vms.length)]
    if (this.#hasFault(vm, 'standstill') || vm.registry.size === 0) return
    const origin = await vm.origins.findOrigin(this.#scenario.isFirstNamed ? identity : { ...identity, firstRequestId: null })
    this.counts.asked++
    if (origin.type !== 'known') return
    this.counts.known++
    if (origin.softwareVersion !== softwareVersion) this.counts.wrong++
  }
}
