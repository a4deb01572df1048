import FakeTimers from '@sinonjs/fake-timers'
import type { Clock } from '@sinonjs/fake-timers'
import type { LoadReport, Resource, ResourceChange, ResourceSnapshot, VmListEntry } from 'knapweedshunt-types'
import { createIncarnation, createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { ControlAction, ControlEvent } from '../src/controlEvents.ts'
import type { ExchangeAnswer, ExchangeRequest, PushRequest } from '../src/controlMessages.ts'
import { ControlNode } from '../src/controlNode.ts'
import { exchangeSchema, pushSchema } from '../src/messageSchemas.ts'
import { DEFAULT_NODE_OPTIONS } from '../src/nodeOptions.ts'
import type { HttpCosts } from './measureHttp.ts'

/** Size of the simulated deployment; `endpointsPerCentre` counts the endpoints of one data centre. */
export interface ClusterSize {
  vms: number
  dataCentres: number
  endpointsPerCentre: number
  organisations: number
  changesPerDay: number
}

/** Mechanisms that bytes, calls and processor time are attributed to; `near` exchanges stay within a data centre, `far` ones go to another. */
export const MECHANISMS = ['near', 'far', 'push', 'snapshot', 'loads', 'platform', 'router', 'tick'] as const

/** One of {@link MECHANISMS}. */
export type Mechanism = typeof MECHANISMS[number]

/** Results of one measurement, per second and node unless stated otherwise. `router` bytes stay on the VM's loopback interface. */
export interface ClusterMetrics {
  size: ClusterSize
  bytes: Record<Mechanism, number>
  /** Bytes of exchanges within the data centre, by message part. */
  nearBytes: { headers: number, versions: number, heartbeats: number, loads: number, centres: number, rest: number }
  /** Bytes per second of the node with the most traffic. */
  maxNodeBytes: number
  /** Processor time of decisions, encoding and decoding, in microseconds. */
  cpuUs: Record<Mechanism, number>
  calls: Record<Mechanism, number>
  /** Heap of one node in bytes, without the resources, which all nodes of a run share. */
  nodeHeapBytes: number
  /** Reads of all nodes together. */
  platformReadsPerSecond: number
}

/** Long enough for every roster to reach all nodes: the per-second budget does not cover the burst of starting all VMs at once. */
const WARM_UP_S = 30
const MEASUREMENT_S = 20
const DAY_S = 86_400

interface BenchVm {
  node: ControlNode
  bytes: number
}

/** Runs control nodes on a fake clock with the production codecs; measures bytes, calls, processor time and heap. */
export function runCluster (size: ClusterSize, http: HttpCosts): ClusterMetrics {
  global.gc?.()
  const heapBefore = process.memoryUsage().heapUsed
  const clock = FakeTimers.install({ toFake: ['Date', 'performance', 'setTimeout', 'clearTimeout'] })
  try {
    const cluster = new Cluster(size, http, clock)
    cluster.run(WARM_UP_S)
    cluster.reset()
    cluster.run(MEASUREMENT_S)
    global.gc?.()
    const nodeHeapBytes = (process.memoryUsage().heapUsed - heapBefore) / size.vms
    return { ...cluster.describe(MEASUREMENT_S), nodeHeapBytes }
  } finally {
    clock.uninstall()
  }
}

class Cluster {
  readonly #size: ClusterSize
  readonly #http: HttpCosts
  readonly #clock: Clock
  readonly #rng: Rng = createRng(7)
  readonly #vms = new Map<string, BenchVm>()
  readonly #vmList: VmListEntry[] = []
  readonly #loads = new Map<string, LoadReport>()
  #snapshot: ResourceSnapshot
  #changes: ResourceChange[] = []
  #metrics = createMetrics()
  #stepCount = 0

  constructor (size: ClusterSize, http: HttpCosts, clock: Clock) {
    this.#size = size
    this.#http = http
    this.#clock = clock
    this.#snapshot = { revision: 1, resources: buildResources(size) }
    for (let i = 0; i < size.vms; i++) this.#addVm(i)
  }

  reset (): void {
    this.#metrics = createMetrics()
    for (const vm of this.#vms.values()) vm.bytes = 0
  }

  run (seconds: number): void {
    const steps = seconds * 1_000 / DEFAULT_NODE_OPTIONS.tickMs
    const stepsPerChange = Math.max(1, Math.round(DAY_S / this.#size.changesPerDay * 1_000 / DEFAULT_NODE_OPTIONS.tickMs))
    for (let step = 0; step < steps; step++) {
      if (++this.#stepCount % stepsPerChange === 0) this.#addChange()
      this.#clock.tick(DEFAULT_NODE_OPTIONS.tickMs)
      for (const vm of this.#vms.values()) this.#handleEvent(vm, { type: 'tick' }, 'tick')
    }
  }

  describe (seconds: number): Omit<ClusterMetrics, 'nodeHeapBytes'> {
    const { bytes, near, ns, calls, reads } = this.#metrics
    const perNode = (total: number) => total / seconds / this.#size.vms
    const { rpcRequestBytes, rpcAnswerBytes } = this.#http
    const headers = calls.near * (rpcRequestBytes + rpcAnswerBytes)
    const rest = bytes.near - headers - near.versions - near.heartbeats - near.loads - near.centres
    return {
      size: this.#size,
      bytes: mapMechanisms(name => perNode(bytes[name])),
      nearBytes: { headers: perNode(headers), versions: perNode(near.versions), heartbeats: perNode(near.heartbeats), loads: perNode(near.loads), centres: perNode(near.centres), rest: perNode(rest) },
      maxNodeBytes: Math.max(...[...this.#vms.values()].map(vm => vm.bytes)) / seconds,
      cpuUs: mapMechanisms(name => perNode(ns[name] / 1_000)),
      calls: mapMechanisms(name => perNode(calls[name])),
      platformReadsPerSecond: reads / seconds
    }
  }

  #addVm (i: number): void {
    const dataCentre = `dc-${i % this.#size.dataCentres + 1}`
    const vm = `${dataCentre}-vm-${i}`
    const url = `http://10.0.${i >> 8}.${i & 255}:8082`
    const self = { vm, incarnation: createIncarnation(), dataCentre, controlUrl: url, routerUrl: url.replace('8082', '8081'), state: 'live' as const, appliedRevision: 0 }
    const node = new ControlNode({ self, rng: createRng(i), createIncarnation, seedUrls: [] })
    this.#vms.set(url, { node, bytes: 0 })
    this.#vmList.push({ vm, dataCentre, controlUrl: url, routerUrl: self.routerUrl, state: 'live' })
  }

  #addChange (): void {
    const revision = this.#snapshot.revision + 1
    const resource: Resource = { kind: 'Organisation', name: 'org-0', revision, spec: { weight: revision } }
    this.#changes.push({ revision, changeId: createIncarnation(), ops: [{ type: 'put', resource }] })
    this.#snapshot = { revision, resources: [resource, ...this.#snapshot.resources.slice(1)] }
  }

  #handleEvent (vm: BenchVm, event: ControlEvent, mechanism: Mechanism): void {
    const actions = this.#measureTime(mechanism, () => vm.node.handleEvent(event))
    for (const action of actions) this.#runAction(vm, action)
  }

  #runAction (vm: BenchVm, action: ControlAction): void {
    switch (action.type) {
      case 'exchange': return this.#exchange(vm, action.url, action.request)
      case 'push': return this.#push(vm, action.url, action.push)
      case 'readSnapshot': return this.#handleEvent(vm, { type: 'snapshotRead', snapshot: this.#snapshot }, 'snapshot')
      case 'readPlatform': return this.#readPlatform(vm, action.after, action.withList)
      case 'readLoad': return this.#readLoad(vm, action.endpoint)
      case 'pushRouter': return this.#pushRouter(vm)
      case 'log':
    }
  }

  #exchange (vm: BenchVm, url: string, request: ExchangeRequest): void {
    const mechanism = request.known ? 'near' : 'far'
    const peer = this.#vms.get(url)!
    const { rpcRequestBytes, rpcAnswerBytes } = this.#http
    const requestText = this.#measureTime(mechanism, () => JSON.stringify(request))
    const { answer, actions } = this.#measureTime(mechanism, () => peer.node.answerExchange(exchangeSchema.parse(JSON.parse(requestText)) as ExchangeRequest))
    const answerText = this.#measureTime(mechanism, () => JSON.stringify(answer))
    this.#countBytes(mechanism, vm, requestText.length + rpcRequestBytes)
    this.#countBytes(mechanism, peer, answerText.length + rpcAnswerBytes)
    this.#metrics.calls[mechanism]++
    if (mechanism === 'near') this.#countNearParts(request, answer)
    for (const peerAction of actions) this.#runAction(peer, peerAction)
    const parsedAnswer = this.#measureTime(mechanism, () => JSON.parse(answerText)) as ExchangeAnswer
    this.#handleEvent(vm, { type: 'answered', url, answer: parsedAnswer }, mechanism)
  }

  #push (vm: BenchVm, url: string, push: PushRequest): void {
    const peer = this.#vms.get(url)!
    const pushText = this.#measureTime('push', () => JSON.stringify(push))
    this.#countBytes('push', vm, pushText.length + this.#http.rpcRequestBytes)
    this.#countBytes('push', peer, this.#http.rpcAnswerBytes)
    this.#metrics.calls.push++
    this.#handleEvent(peer, { type: 'pushed', push: this.#measureTime('push', () => pushSchema.parse(JSON.parse(pushText))) as PushRequest }, 'push')
  }

  #readPlatform (vm: BenchVm, after: number, withList: boolean): void {
    const { revision } = this.#snapshot
    this.#metrics.calls.platform++
    this.#metrics.reads += 1 + (withList ? 1 : 0) + (revision > after ? 1 : 0)
    this.#countBytes('platform', vm, this.#http.loadRequestBytes * (withList ? 2 : 1))
    const changes = after === 0 || revision === after ? null : this.#changes.filter(change => change.revision > after)
    const snapshot = after === 0 ? this.#snapshot : null
    this.#handleEvent(vm, { type: 'platformRead', read: { revision, changes, snapshot, vmList: withList ? this.#vmList : null } }, 'platform')
  }

  #readLoad (vm: BenchVm, endpoint: string): void {
    this.#metrics.calls.loads++
    this.#countBytes('loads', vm, this.#http.loadRequestBytes)
    const previousLoad = this.#loads.get(endpoint) ?? { endpoint, incarnation: createIncarnation(), weightsVersion: 'w1', running: 8, queued: 1, queuedTokens: 1_500, atMs: 0 }
    const queued = this.#stepRandomWalk(previousLoad.queued, 1, 6)
    const load: LoadReport = { ...previousLoad, running: this.#stepRandomWalk(previousLoad.running, 2, 24), queued, queuedTokens: queued * 1_500, atMs: previousLoad.atMs + 1_000 }
    this.#loads.set(endpoint, load)
    this.#handleEvent(vm, { type: 'loadRead', load }, 'loads')
  }

  #stepRandomWalk (value: number, step: number, max: number): number {
    return Math.min(max, Math.max(0, value + this.#rng.drawInt(2 * step + 1) - step))
  }

  #pushRouter (vm: BenchVm): void {
    const snapshotText = this.#measureTime('router', () => {
      const { resources, vms, endpoints } = vm.node.buildRouterSnapshot()
      return JSON.stringify({ revision: resources.revision, vms, endpoints })
    })
    this.#metrics.bytes.router += snapshotText.length + this.#http.rpcRequestBytes + this.#http.rpcAnswerBytes
    this.#metrics.calls.router++
    vm.node.handleEvent({ type: 'routerAcked', revision: vm.node.replica.snapshot.revision })
  }

  #countNearParts (request: ExchangeRequest, answer: ExchangeAnswer): void {
    const { near } = this.#metrics
    near.versions += measureJsonLength(request.known)
    near.centres += measureJsonLength(request.centres) + measureJsonLength(answer.centres)
    near.heartbeats += measureJsonLength(answer.beats)
    for (const delta of answer.deltas ?? []) {
      near.loads += measureJsonLength(delta.e)
      near.heartbeats += measureJsonLength({ k: delta.k, v: delta.v })
    }
  }

  #countBytes (mechanism: Mechanism, vm: BenchVm, bytes: number): void {
    this.#metrics.bytes[mechanism] += bytes
    vm.bytes += bytes
  }

  #measureTime<T> (mechanism: Mechanism, operation: () => T): T {
    const before = process.hrtime.bigint()
    const result = operation()
    this.#metrics.ns[mechanism] += Number(process.hrtime.bigint() - before)
    return result
  }
}

/** Builds the resources of a deployment: organisations with one access key each, and endpoints. */
export function buildResources (size: ClusterSize): Resource[] {
  const resources: Resource[] = []
  for (let i = 0; i < size.organisations; i++) {
    resources.push({ kind: 'Organisation', name: `org-${i}`, revision: 1, spec: { weight: 1 } })
    resources.push({ kind: 'AccessKey', name: `key-${i}`, revision: 1, spec: { organisation: `org-${i}`, keyHash: 'a'.repeat(64) } })
  }
  for (let dc = 1; dc <= size.dataCentres; dc++) {
    for (let i = 0; i < size.endpointsPerCentre; i++) resources.push(buildEndpoint(dc, i))
  }
  return resources
}

function buildEndpoint (dc: number, i: number): Resource {
  const spec = { pool: 'language', url: `http://10.${dc}.${i >> 8}.${i & 255}:8000`, dataCentre: `dc-${dc}`, weight: 1, cacheBlocks: 4_000, checksFencing: true, checksIdempotencyKeys: false, draining: false }
  return { kind: 'Endpoint', name: `language-${dc}-${i}`, revision: 1, spec }
}

function measureJsonLength (part: unknown): number {
  return part === undefined ? 0 : JSON.stringify(part).length
}

function createMetrics () {
  const zero = () => mapMechanisms(() => 0)
  return { bytes: zero(), ns: zero(), calls: zero(), near: { versions: 0, heartbeats: 0, loads: 0, centres: 0 }, reads: 0 }
}

function mapMechanisms (value: (name: Mechanism) => number): Record<Mechanism, number> {
  return Object.fromEntries(MECHANISMS.map(name => [name, value(name)])) as Record<Mechanism, number>
}
