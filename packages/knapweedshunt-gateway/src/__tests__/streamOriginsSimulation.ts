import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { PoolVersionsRow } from '../directory/rosterRows.ts'
import { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { PeerView } from '../peers/peerAddress.ts'
import { StreamOrigins } from '../peers/streamOrigins.ts'
import type { StreamIdentity } from '../peers/streamOrigins.ts'
import { StreamRowReader } from '../peers/streamRowReader.ts'
import { StreamRows } from '../peers/streamRows.ts'
import { DecisionLog } from '../records/decisionLog.ts'
import { GatewayMetrics } from '../records/gatewayMetrics.ts'
import { buildVersionEntry, POOL } from './buildVersionEntry.ts'
import { callPeer } from './callPeer.ts'
import { SimulatedStore } from './simulatedStore.ts'

const RETENTION_MS = 8_000
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
  disturbances: Array<{ atMs: number, vm: number, type: 'restart' | 'cut' | 'outage' | 'restartAll' | 'copy' | 'restore', durationMs: number }>
  /** Time until a change of the endpoints is seen by a VM, at most, in milliseconds. */
  maxDirectoryMs: number
  streamIntervalMs: number
  /** Time until a caller takes its stream up again, at most, in milliseconds. */
  maxTakeUpMs: number
}

/** Streams that were taken up; those of `AfterRestart` began before all VMs ended, and were taken up after it. */
export interface OriginsCounts {
  asked: number
  known: number
  wrong: number
  askedAfterRestart: number
  knownAfterRestart: number
}

interface SimulatedEndpoint { endpoint: string, softwareVersion: string }

interface SimulatedVm {
  view: PeerView
  start: number
  origins: StreamOrigins
  streamRows: StreamRows
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
  readonly #store = new SimulatedStore()
  #endpoints: SimulatedEndpoint[] = Array.from({ length: 6 }, (_, n) => ({ endpoint: `e${n}`, softwareVersion: 'v1' }))
  readonly #leaving = new Set<string>()
  #version = 1
  #isStoreDown = false
  readonly counts: OriginsCounts = { asked: 0, known: 0, wrong: 0, askedAfterRestart: 0, knownAfterRestart: 0 }
  #restartedAllAtMs = -Infinity

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
    const vm: SimulatedVm = { view, start, registry, abort, isCut: false, isDown: false, endpointsReadAtMs: -Infinity, origins: null as unknown as StreamOrigins, streamRows: null as unknown as StreamRows }
    const decisionLog = new DecisionLog(LOG)
    const platform = this.#store.buildPlatform(() => this.#canReachStore(vm))
    vm.streamRows = new StreamRows({
      platform,
      vm: view.vm,
      incarnation: String(start),
      decisionLog,
      metrics: new GatewayMetrics(),
      signal: abort.signal,
      randomizeDelayMs: meanMs => meanMs * (0.5 + this.#rng.drawFloat()),
      isSweeper: () => n === 0,
      getRetentionMs: () => RETENTION_MS,
      countVms: () => this.#vms.length,
      onRestored: streams => vm.origins.applyRestored(streams)
    })
    vm.origins = new StreamOrigins({
      vm: view.vm,
      dataCentre: view.dataCentre,
      endpointRegistry: registry,
      decisionLog,
      streamRows: vm.streamRows,
      streamRowReader: new StreamRowReader({ platform, decisionLog, signal: abort.signal, countVms: () => this.#vms.length }),
      signal: abort.signal,
      listPeers: () => this.#vms.filter(other => other.view.vm !== view.vm).map(other => other.view),
      call: (target, method, params) => callPeer(() => this.#findPeer(vm, target), method, params),
      getRetentionMs: () => RETENTION_MS,
      getEndpointsAgeMs: () => performance.now() - vm.endpointsReadAtMs,
      isVersionsWriter: () => this.#vms.findIndex(other => !other.isDown) === n,
      writePoolVersions: async row => { await this.#writeRow(vm, row) }
    })
    this.#readDirectory(vm)
    vm.streamRows.restore().catch(error => { throw error })
    return vm
  }

  #findPeer (from: SimulatedVm, target: PeerView): StreamOrigins | null {
    const vm = this.#vms.find(one => one.view.vm === target.vm)
    return vm === undefined || vm.isDown || vm.isCut || from.isCut || vm.view.address.key !== target.address.key ? null : vm.origins
  }

  async #writeRow (vm: SimulatedVm, row: PoolVersionsRow): Promise<void> {
    if (!this.#canReachStore(vm)) throw new Error('no answer')
    this.#store.setPoolRow(row)
    for (const other of this.#vms) if (this.#canReachStore(other)) other.origins.applyPoolVersions(row)
  }

  #canReachStore (vm: SimulatedVm): boolean {
    return !this.#isStoreDown && !vm.isCut && !vm.isDown
  }

  #readDirectory (vm: SimulatedVm): void {
    if (!this.#canReachStore(vm)) return
    for (const row of this.#store.listPoolRows()) vm.origins.applyPoolVersions(row)
    vm.registry.applySnapshot(this.#endpoints.map(({ endpoint, softwareVersion }) => buildVersionEntry(endpoint, softwareVersion, `${endpoint}@${softwareVersion}`)), [], null)
    vm.endpointsReadAtMs = performance.now()
    vm.origins.updateVersions()
  }

  #tick (): void {
    for (const vm of this.#vms) {
      if (vm.isDown) continue
      if (this.#canReachStore(vm)) vm.endpointsReadAtMs = performance.now()
      vm.origins.updateVersions()
      vm.streamRows.update()
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
    if (type === 'copy') return this.#store.copy()
    if (type === 'restore') {
      this.#store.restore()
      for (const one of this.#vms) one.streamRows.rewrite()
      return
    }
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
    if (type === 'restartAll') this.#restartedAllAtMs = performance.now()
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
    const begunAtMs = performance.now()
    vm.origins.recordBegan(identity, softwareVersion)
    setTimeout(() => {
      this.#takeUp(identity, softwareVersion, begunAtMs).catch(error => { throw error })
    }, 10 + this.#rng.drawInt(this.#scenario.maxTakeUpMs))
  }

  async #takeUp (identity: StreamIdentity, softwareVersion: string, begunAtMs: number): Promise<void> {
    const vm = this.#vms[this.#rng.drawInt(this.#vms.length)]
    if (vm.isDown) return
    const origin = await vm.origins.findOrigin(identity)
    const isAfterRestart = begunAtMs < this.#restartedAllAtMs
    this.counts.asked++
    if (isAfterRestart) this.counts.askedAfterRestart++
    if (origin.type !== 'known') return
    this.counts.known++
    if (isAfterRestart) this.counts.knownAfterRestart++
    if (origin.softwareVersion !== softwareVersion) this.counts.wrong++
  }
}
