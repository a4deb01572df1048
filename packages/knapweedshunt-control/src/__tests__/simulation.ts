import { MemoryPlatform } from 'knapweedshunt-fakes'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform } from 'knapweedshunt-platform'
import { describeRevision, ResourceStore } from 'knapweedshunt-resources'
import type { StatusInputs } from 'knapweedshunt-resources'
import type { Resource, Revision, StatusCondition } from 'knapweedshunt-types'
import { createRng, sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { ControlNode } from '../controlNode.ts'
import type { NodeSetup } from '../nodeSetup.ts'
import type { ControlAction, ControlEvent } from '../controlEvents.ts'
import type { ExchangeRequest, PushRequest } from '../controlMessages.ts'
import { DEFAULT_NODE_OPTIONS } from '../nodeOptions.ts'
import { readPlatform } from '../readPlatform.ts'

/** Timeout of a simulated call between VMs, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000
/** Time the router takes to apply a pushed snapshot, in milliseconds. */
const ROUTER_DELAY_MS = 20

/** Message loss above which no propagation bound holds. */
const MAX_LOSS_WITH_BOUND = 0.1

/** Parts of the implementation that a faulty variant replaces, to check that the fuzz test detects the fault. */
export interface Variant {
  createNode: (setup: NodeSetup) => ControlNode
  describe: (revision: Revision, evidence: StatusInputs) => StatusCondition
}

/** The production implementation. */
export const CORRECT_VARIANT: Variant = { createNode: setup => new ControlNode(setup), describe: describeRevision }

/** Faults of the message bus; loss and delay apply to each message, duplication to each call. `lateMs` is the maximum delay of a delayed message. */
export interface BusFaults {
  lossProbability: number
  duplicateProbability: number
  lateProbability: number
  lateMs: number
}

/** A simulated VM process. */
export interface SimVm {
  vm: string
  dataCentre: string
  node: ControlNode
  paused: boolean
  /** Running, but disconnected from all VMs and from the platform. */
  isolated: boolean
  killed: boolean
  routerRevision: Revision
  /** Callbacks that run when the paused VM resumes. */
  deferredCallbacks: Array<() => void>
}

/** Simulates several control nodes that share one platform and a message bus; runs on a fake clock. */
export class Simulation {
  readonly platform = new MemoryPlatform()
  readonly store = new ResourceStore(this.platform, { retainedChanges: 20, retainedChangeIds: 1_000, changesPerCompaction: 10 })
  readonly bus: BusFaults = { lossProbability: 0, duplicateProbability: 0, lateProbability: 0, lateMs: 0 }
  readonly running = new Map<string, SimVm>()
  /** Network partitions: pairs of data centres, or of a data centre and `platform`, that cannot reach each other. */
  readonly partitions = new Set<string>()
  readonly violations: string[] = []
  readonly #rng: Rng
  readonly #variant: Variant
  readonly #finalStates = new Map<string, string>()
  #incarnationCount = 0

  constructor (seed: number, variant: Variant = CORRECT_VARIANT) {
    this.#rng = createRng(seed)
    this.#variant = variant
  }

  start (vm: string, dataCentre: string, listedAfterMs = 0): void {
    const url = `http://${vm}`
    const drawIncarnation = () => createIncarnationId(this.#incarnationCount++)
    const node = this.#variant.createNode({
      self: { vm, incarnation: drawIncarnation(), dataCentre, controlUrl: url, routerUrl: url, state: 'live', appliedRevision: 0 },
      rng: createRng(this.#rng.drawInt(1_000_000)),
      createIncarnation: drawIncarnation,
      seedUrls: []
    })
    const process: SimVm = { vm, dataCentre, node, paused: false, isolated: false, killed: false, routerRevision: 0, deferredCallbacks: [] }
    this.running.set(vm, process)
    if (!this.platform.vms.some(entry => entry.vm === vm)) setTimeout(() => this.platform.vms.push({ vm, dataCentre, controlUrl: url, routerUrl: url, state: 'live' }), listedAfterMs)
    setTimeout(() => this.#tick(process), this.#rng.drawInt(DEFAULT_NODE_OPTIONS.tickMs))
  }

  kill (vm: string, delistedAfterMs: number | null): void {
    const process = this.running.get(vm)
    if (process === undefined) return
    process.killed = true
    this.running.delete(vm)
    if (delistedAfterMs !== null) setTimeout(() => this.#delist(vm), delistedAfterMs)
  }

  leave (vm: string): void {
    const process = this.running.get(vm)
    if (process === undefined || process.paused) return
    this.#runActions(process, process.node.handleEvent({ type: 'stopped' }))
    this.kill(vm, 2_000)
  }

  pause (vm: string): void {
    const process = this.running.get(vm)
    if (process) process.paused = true
  }

  resume (vm: string): void {
    const process = this.running.get(vm)
    if (!process?.paused) return
    process.paused = false
    for (const callback of process.deferredCallbacks.splice(0)) callback()
  }

  partition (a: string, b: string): void {
    this.partitions.add([a, b].sort().join('|'))
  }

  isPartitioned (a: string, b: string): boolean {
    return a !== b && this.partitions.has([a, b].sort().join('|'))
  }

  isDisconnected (a: SimVm, b: SimVm): boolean {
    return a.isolated || b.isolated || this.isPartitioned(a.dataCentre, b.dataCentre)
  }

  /** Lists the serving VMs that changes can reach from the platform, directly or through data centres with a serving VM. */
  listReachable (): string[] {
    if (this.platform.faults.down || this.bus.lossProbability > MAX_LOSS_WITH_BOUND) return []
    const serving = [...this.running.values()].filter(simVm => !simVm.paused && !simVm.isolated && simVm.routerRevision > 0)
    const dataCentres = [...new Set(serving.map(simVm => simVm.dataCentre))]
    const reached = new Set(['platform'])
    for (let hop = 0; hop < dataCentres.length; hop++) {
      for (const dataCentre of dataCentres) if ([...reached].some(from => !this.isPartitioned(from, dataCentre))) reached.add(dataCentre)
    }
    return serving.filter(simVm => reached.has(simVm.dataCentre)).map(simVm => simVm.vm)
  }

  /** Asks one VM whether a revision is in force; records a violation if it says so while a serving VM has an older revision. */
  async checkInForce (vm: string, revision: Revision): Promise<StatusCondition | null> {
    const process = this.running.get(vm)
    if (process === undefined || process.paused) return null
    const listed = await this.#openPlatform(process).listVms().catch(() => null)
    const condition = this.#variant.describe(revision, { vms: process.node.buildStatus().vms, listed })
    const outdatedVms = [...this.running.values()].filter(simVm => this.#isServing(simVm) && simVm.routerRevision < revision).map(simVm => simVm.vm)
    if (condition.status === 'true' && outdatedVms.length > 0) this.violations.push(`${vm} reports revision ${revision} in force, but not on ${outdatedVms.join()}`)
    return condition
  }

  #isServing (process: SimVm): boolean {
    return process.routerRevision > 0
  }

  #delist (vm: string): void {
    if (!this.running.has(vm)) this.platform.vms = this.platform.vms.filter(entry => entry.vm !== vm)
  }

  #tick (process: SimVm): void {
    if (process.killed) return
    setTimeout(() => this.#tick(process), DEFAULT_NODE_OPTIONS.tickMs)
    if (process.paused) return
    this.#handleEvent(process, { type: 'tick' })
    this.#checkFinalStates(process)
  }

  #handleEvent (process: SimVm, event: ControlEvent): void {
    if (process.killed) return
    const before = process.node.replica.snapshot.revision
    this.#runActions(process, process.node.handleEvent(event))
    if (process.node.replica.snapshot.revision < before) this.violations.push(`${process.vm} regressed from revision ${before}`)
  }

  /** Runs the callback at once, or when the VM resumes if it is paused. */
  #runWhenAwake (process: SimVm, callback: () => void): void {
    if (process.killed) return
    if (process.paused) process.deferredCallbacks.push(callback)
    else callback()
  }

  #runActions (process: SimVm, actions: ControlAction[]): void {
    for (const action of actions) this.#runAction(process, action)
  }

  #runAction (process: SimVm, action: ControlAction): void {
    switch (action.type) {
      case 'exchange':
        return this.#callPeer(process, action.url, peer => this.#answerExchange(peer, action.request), answer => this.#handleEvent(process, { type: 'answered', url: action.url, answer: answer as never }), () => this.#handleEvent(process, { type: 'unanswered', url: action.url }))
      case 'push':
        return this.#callPeer(process, action.url, peer => this.#handleEvent(peer, { type: 'pushed', push: clone(action.push) as PushRequest }), () => {}, () => {})
      case 'readSnapshot':
        return this.#callPeer(process, action.url, peer => peer.node.replica.snapshot, snapshot => this.#handleEvent(process, { type: 'snapshotRead', snapshot: snapshot as never }), () => {})
      case 'readPlatform':
        this.#readPlatform(process, action.after, action.withList)
        return
      case 'pushRouter':
        this.#pushRouter(process)
        break
      case 'readLoad':
      case 'log':
    }
  }

  #answerExchange (peer: SimVm, request: ExchangeRequest): unknown {
    const { answer, actions } = peer.node.answerExchange(clone(request) as ExchangeRequest)
    this.#runActions(peer, actions)
    return answer
  }

  #callPeer (process: SimVm, url: string, handleCall: (peer: SimVm) => unknown, handleAnswer: (answer: unknown) => void, handleTimeout: () => void): void {
    let isDone = false
    const finish = (callback: () => void) => {
      if (isDone) return
      isDone = true
      this.#runWhenAwake(process, callback)
    }
    const peer = this.running.get(url.slice('http://'.length))
    setTimeout(() => finish(handleTimeout), CALL_TIMEOUT_MS)
    if (peer === undefined || this.isDisconnected(process, peer)) return
    const copies = this.#rng.drawFloat() < this.bus.duplicateProbability ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      this.#send(() => this.#runWhenAwake(peer, () => {
        const answer = clone(handleCall(peer))
        if (!this.isDisconnected(process, peer)) this.#send(() => finish(() => handleAnswer(answer)))
      }))
    }
  }

  #send (deliver: () => void): void {
    if (this.#rng.drawFloat() < this.bus.lossProbability) return
    const isLate = this.#rng.drawFloat() < this.bus.lateProbability
    setTimeout(deliver, 1 + this.#rng.drawInt(isLate ? this.bus.lateMs : 5))
  }

  async #readPlatform (process: SimVm, after: Revision, withList: boolean): Promise<void> {
    const platform = this.#openPlatform(process)
    try {
      const read = await readPlatform(platform, new ResourceStore(platform), after, withList)
      this.#runWhenAwake(process, () => this.#handleEvent(process, { type: 'platformRead', read }))
    } catch {
      this.#runWhenAwake(process, () => this.#handleEvent(process, { type: 'platformUnanswered' }))
    }
  }

  #openPlatform (process: SimVm): Platform {
    const { platform } = this
    const checkConnected = () => { if (process.isolated || this.isPartitioned(process.dataCentre, 'platform')) throw new PlatformUnreachableError('The simulated VM cannot reach the platform.') }
    return {
      read: async (table, key) => { checkConnected(); return platform.read(table, key) },
      scan: async request => { checkConnected(); return platform.scan(request) },
      transact: async transaction => { checkConnected(); return platform.transact(transaction) },
      getObject: async name => { checkConnected(); return platform.getObject(name) },
      putObject: async (name, text) => { checkConnected(); return platform.putObject(name, text) },
      listVms: async () => { checkConnected(); return platform.listVms() }
    }
  }

  async #pushRouter (process: SimVm): Promise<void> {
    const { revision } = process.node.buildRouterSnapshot().resources
    await sleep(ROUTER_DELAY_MS)
    this.#runWhenAwake(process, () => {
      process.routerRevision = Math.max(process.routerRevision, revision)
      this.#handleEvent(process, { type: 'routerAcked', revision: process.routerRevision })
    })
  }

  /** Checks that no VM view returns from leaving or dead to an earlier state within one incarnation. */
  #checkFinalStates (process: SimVm): void {
    for (const view of process.node.vms.listVms().slice(1)) {
      const key = `${process.node.vms.self.view.incarnation}/${view.incarnation}`
      const previousState = this.#finalStates.get(key)
      if (view.state === 'leaving' || view.state === 'dead') this.#finalStates.set(key, view.state)
      const hasRegressed = (previousState !== undefined && view.state !== 'leaving' && view.state !== 'dead') || (previousState === 'dead' && view.state === 'leaving')
      if (hasRegressed) this.violations.push(`${process.vm} reports ${view.vm} as ${view.state} after ${previousState}`)
    }
  }
}

/** Builds an organisation resource; the weight tells revisions of it apart. */
export function buildOrganisation (name: string, weight = 1): Resource {
  return { kind: 'Organisation', name, revision: 0, spec: { weight } }
}

function createIncarnationId (index: number): string {
  return index.toString(16).padStart(8, '0').repeat(2)
}

function clone (value: unknown): unknown {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value))
}
