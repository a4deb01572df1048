import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { PoolVersionsRow } from '../directory/rosterRows.ts'
import { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { PeerView } from '../peers/peerAddress.ts'
import { StreamOrigins } from '../peers/streamOrigins.ts'
import { DecisionLog } from '../records/decisionLog.ts'

const POOL = 'p'
const RETENTION_MS = 8_000
const CALL_TIMEOUT_MS = 250
const CALL_MS = 3
const TICK_MS = 250

/** Time for which an endpoint serves after it has left the directory, in milliseconds. */
const LEAVING_MS = 3_000

const DATA_CENTRES = ['z1', 'z2', 'z3']
const LOG = { debug () {}, info () {}, warn () {}, error () {} }

/** What happens to a deployment whose endpoints change their software version. */
export interface OriginsScenario {
  seed: number
  vmCount: number
  /** Times at which the endpoints are replaced by ones of the next version, one after the other. */
  releases: Array<{ atMs: number, gapMs: number }>
  disturbances: Array<{ atMs: number, vm: number, type: 'restart' | 'cut' | 'outage' | 'restartAll', durationMs: number }>
  /** Time until a change of the endpoints is seen by a VM, at most, in milliseconds. */
  maxDirectoryMs: number
  streamIntervalMs: number
  /** Time until a caller takes its stream up again, at most, in milliseconds. */
  maxTakeUpMs: number
}

interface SimulatedEndpoint { endpoint: string, softwareVersion: string }

interface SimulatedVm {
  view: PeerView
  start: number
  origins: StreamOrigins
  registry: EndpointRegistry
  isCut: boolean
  isDown: boolean
  endpointsReadAtMs: number
  abort: AbortController
}

/** Simulates VMs that begin streams at endpoints of several software versions and are asked for their origin. Runs on the fake clock. */
export class StreamOriginsSimulation {
  readonly #scenario: OriginsScenario
  readonly #rng: Rng
  readonly #vms: SimulatedVm[] = []
  readonly #rows = new Map<string, PoolVersionsRow>()
  #endpoints: SimulatedEndpoint[] = Array.from({ length: 6 }, (_, n) => ({ endpoint: `e${n}`, softwareVersion: 'v1' }))
  readonly #leaving = new Set<string>()
  #version = 1
  #isStoreDown = false
  readonly counts = { asked: 0, known: 0, wrong: 0 }

  constructor (scenario: OriginsScenario) {
    this.#scenario = scenario
    this.#rng = createRng(scenario.seed)
  }

  start (): void {
    for (let n = 0; n < this.#scenario.vmCount; n++) this.#vms.push(this.#createVm(n, 0))
    for (const { atMs, gapMs } of this.#scenario.releases) setTimeout(() => this.#release(gapMs), atMs)
    for (const { atMs, vm, type, durationMs } of this.#scenario.disturbances) setTimeout(() => this.#disturb(vm % this.#vms.length, type, durationMs), atMs)
    setInterval(() => this.#beginStream(), this.#scenario.streamIntervalMs)
    setInterval(() => this.#tick(), TICK_MS)
  }

  #createVm (n: number, start: number): SimulatedVm {
    const view: PeerView = { vm: `vm-${n}`, dataCentre: DATA_CENTRES[n % DATA_CENTRES.length], address: { url: '', key: String(start) } }
    const registry = new EndpointRegistry(() => {}, () => {}, () => {})
    const abort = new AbortController()
    const vm: SimulatedVm = { view, start, registry, abort, isCut: false, isDown: false, endpointsReadAtMs: -Infinity, origins: null as unknown as StreamOrigins }
    vm.origins = new StreamOrigins({
      vm: view.vm,
      dataCentre: view.dataCentre,
      endpointRegistry: registry,
      decisionLog: new DecisionLog(LOG),
      signal: abort.signal,
      listPeers: () => this.#vms.filter(other => other.view.vm !== view.vm).map(other => other.view),
      call: (target, method, params) => this.#call(vm, target, method, params),
      getRetentionMs: () => RETENTION_MS,
      getEndpointsAgeMs: () => performance.now() - vm.endpointsReadAtMs,
      isVersionsWriter: () => this.#vms.findIndex(other => !other.isDown) === n,
      writePoolVersions: async row => { await this.#writeRow(vm, row) }
    })
    this.#readDirectory(vm)
    return vm
  }

  async #call (from: SimulatedVm, target: PeerView, method: string, params: unknown): Promise<unknown> {
    await new Promise(resolve => setTimeout(resolve, CALL_MS))
    const vm = this.#vms.find(one => one.view.vm === target.vm)
    if (vm === undefined || vm.isDown || vm.isCut || from.isCut || vm.view.address.key !== target.address.key) {
      await new Promise(resolve => setTimeout(resolve, CALL_TIMEOUT_MS))
      throw new Error('no answer')
    }
    switch (method) {
      case 'streams.record': return vm.origins.handleRecord(params)
      case 'streams.versions': return vm.origins.handleVersions(params)
      default: return vm.origins.handleFind(params)
    }
  }

  async #writeRow (vm: SimulatedVm, row: PoolVersionsRow): Promise<void> {
    if (!this.#canReachStore(vm)) throw new Error('no answer')
    this.#rows.set(row.pool, row)
    for (const other of this.#vms) if (this.#canReachStore(other)) other.origins.applyPoolVersions(row)
  }

  #canReachStore (vm: SimulatedVm): boolean {
    return !this.#isStoreDown && !vm.isCut && !vm.isDown
  }

  #readDirectory (vm: SimulatedVm): void {
    if (!this.#canReachStore(vm)) return
    for (const row of this.#rows.values()) vm.origins.applyPoolVersions(row)
    vm.registry.applySnapshot(this.#endpoints.map(({ endpoint, softwareVersion }) => ({ endpoint, incarnation: `${endpoint}@${softwareVersion}`, pool: POOL, address: '127.0.0.1:1', dataCentre: 'z1', slots: 8, isDraining: false, softwareVersion, models: [] })), false)
    vm.endpointsReadAtMs = performance.now()
    vm.origins.updateVersions()
  }

  #tick (): void {
    for (const vm of this.#vms) {
      if (vm.isDown) continue
      if (this.#canReachStore(vm)) vm.endpointsReadAtMs = performance.now()
      vm.origins.updateVersions()
    }
  }

  /** A VM that could not be reached reads the directory as soon as it can. */
  #scheduleRead (vm: SimulatedVm, delayMs: number): void {
    setTimeout(() => {
      if (this.#canReachStore(vm)) this.#readDirectory(vm)
      else if (this.#vms.includes(vm)) this.#scheduleRead(vm, TICK_MS)
    }, delayMs)
  }

  #release (gapMs: number): void {
    const version = `v${++this.#version}`
    for (let n = 0; n < 6; n++) {
      setTimeout(() => {
        const [{ endpoint: left }] = this.#endpoints
        this.#leaving.add(left)
        setTimeout(() => this.#leaving.delete(left), LEAVING_MS)
        this.#endpoints = [...this.#endpoints.slice(1), { endpoint: `${version}-${n}`, softwareVersion: version }]
        for (const vm of this.#vms) this.#scheduleRead(vm, this.#rng.drawInt(this.#scenario.maxDirectoryMs))
      }, n * gapMs)
    }
  }

  #disturb (n: number, type: OriginsScenario['disturbances'][number]['type'], durationMs: number): void {
    const vm = this.#vms[n]
    if (type === 'outage') {
      this.#isStoreDown = true
      setTimeout(() => {
        this.#isStoreDown = false
        for (const one of this.#vms) this.#scheduleRead(one, TICK_MS)
      }, durationMs)
      return
    }
    if (type === 'cut') {
      vm.isCut = true
      setTimeout(() => {
        vm.isCut = false
        this.#scheduleRead(vm, TICK_MS)
      }, durationMs)
      return
    }
    const stopped = type === 'restartAll' ? [...this.#vms] : [vm]
    for (const one of stopped) {
      one.isDown = true
      one.abort.abort()
      setTimeout(() => {
        const index = this.#vms.indexOf(one)
        if (index === -1) return
        this.#vms[index] = this.#createVm(index, one.start + 1)
        this.#scheduleRead(this.#vms[index], 0)
      }, 1_000)
    }
  }

  #beginStream (): void {
    const vm = this.#vms[this.#rng.drawInt(this.#vms.length)]
    const present = vm.registry.list()
    if (vm.isDown || present.length === 0) return
    const { endpoint, softwareVersion } = present[this.#rng.drawInt(present.length)].entry
    if (!this.#leaving.has(endpoint) && !this.#endpoints.some(one => one.endpoint === endpoint)) return
    const identity = { organisation: 'org', pool: POOL, firstRequestId: `r${this.#rng.drawInt(2 ** 30)}-${performance.now()}` }
    vm.origins.recordBegan(identity, softwareVersion)
    setTimeout(() => {
      this.#takeUp(identity, softwareVersion).catch(error => { throw error })
    }, 10 + this.#rng.drawInt(this.#scenario.maxTakeUpMs))
  }

  async #takeUp (identity: { organisation: string, pool: string, firstRequestId: string }, softwareVersion: string): Promise<void> {
    const vm = this.#vms[this.#rng.drawInt(this.#vms.length)]
    if (vm.isDown) return
    const origin = await vm.origins.findOrigin(identity)
    this.counts.asked++
    if (origin.type !== 'known') return
    this.counts.known++
    if (origin.softwareVersion !== softwareVersion) this.counts.wrong++
  }
}
