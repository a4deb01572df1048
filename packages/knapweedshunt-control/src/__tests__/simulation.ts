import { MemoryPlatform } from 'knapweedshunt-fakes'
import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { Platform } from 'knapweedshunt-platform'
import { describeRevision, ResourceStore } from 'knapweedshunt-resources'
import type { StatusEvidence } from 'knapweedshunt-resources'
import type { Resource, Revision, StatusCondition } from 'knapweedshunt-types'
import { createRng, sleep } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import { ControlNode } from '../controlNode.ts'
import type { NodeSetup } from '../nodeSetup.ts'
import type { ControlAction, ControlEvent } from '../controlEvents.ts'
import type { ExchangeRequest, PushRequest } from '../controlMessages.ts'
import { DEFAULT_NODE_OPTIONS } from '../nodeOptions.ts'
import { readPlatform } from '../readPlatform.ts'

/** Longest wait of a caller for an answer, in milliseconds. */
const CALL_TIMEOUT_MS = 1_000
const ROUTER_MS = 20

/** Loss under which no bound is kept. */
const HEAVY_LOSS = 0.1

/** Parts that a broken variant replaces. */
export interface Variant {
  createNode: (setup: NodeSetup) => ControlNode
  describe: (revision: Revision, evidence: StatusEvidence) => StatusCondition
}

/** The parts as they are. */
export const RIGHT: Variant = { createNode: setup => new ControlNode(setup), describe: describeRevision }

/** Faults of the message bus. */
export interface BusFaults {
  lossShare: number
  doubleShare: number
  lateShare: number
  lateMs: number
}

/** One VM process. */
export interface SimVm {
  vm: string
  dataCentre: string
  node: ControlNode
  paused: boolean
  /** Cut off from everything, but running. */
  isolated: boolean
  killed: boolean
  routerRevision: Revision
  /** What waits for the VM to wake. */
  held: Array<() => void>
}

/** Several controls over one platform and a message bus, under the fake clock. */
export class Simulation {
  readonly platform = new MemoryPlatform()
  readonly store = new ResourceStore(this.platform, { keptChanges: 20, keptChangeIds: 1_000, compactEvery: 10 })
  readonly bus: BusFaults = { lossShare: 0, doubleShare: 0, lateShare: 0, lateMs: 0 }
  readonly running = new Map<string, SimVm>()
  /** Parts that hear nothing of each other: pairs of data centres or `platform`. */
  readonly cuts = new Set<string>()
  readonly problems: string[] = []
  readonly #rng: Rng
  readonly #variant: Variant
  readonly #finals = new Map<string, string>()
  #incarnations = 0

  constructor (seed: number, variant: Variant = RIGHT) {
    this.#rng = createRng(seed)
    this.#variant = variant
  }

  start (vm: string, dataCentre: string, listedAfterMs = 0): void {
    const url = `http://${vm}`
    const drawIncarnation = () => createName(this.#incarnations++)
    const node = this.#variant.createNode({
      self: { vm, incarnation: drawIncarnation(), dataCentre, controlUrl: url, routerUrl: url, state: 'live', appliedRevision: 0 },
      rng: createRng(this.#rng.int(1_000_000)),
      drawIncarnation,
      seeds: []
    })
    const process: SimVm = { vm, dataCentre, node, paused: false, isolated: false, killed: false, routerRevision: 0, held: [] }
    this.running.set(vm, process)
    if (!this.platform.vms.some(entry => entry.vm === vm)) setTimeout(() => this.platform.vms.push({ vm, dataCentre, controlUrl: url, routerUrl: url, state: 'live' }), listedAfterMs)
    setTimeout(() => this.#tick(process), this.#rng.int(DEFAULT_NODE_OPTIONS.tickMs))
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
    this.#run(process, process.node.take({ type: 'stopped' }))
    this.kill(vm, 2_000)
  }

  pause (vm: string): void {
    const process = this.running.get(vm)
    if (process) process.paused = true
  }

  wake (vm: string): void {
    const process = this.running.get(vm)
    if (!process?.paused) return
    process.paused = false
    for (const act of process.held.splice(0)) act()
  }

  cut (a: string, b: string): void {
    this.cuts.add([a, b].sort().join('|'))
  }

  isCut (a: string, b: string): boolean {
    return a !== b && this.cuts.has([a, b].sort().join('|'))
  }

  isApart (a: SimVm, b: SimVm): boolean {
    return a.isolated || b.isolated || this.isCut(a.dataCentre, b.dataCentre)
  }

  /** Serving VMs to which a path leads from the platform, over data centres with a serving VM. */
  listReachable (): string[] {
    if (this.platform.faults.down || this.bus.lossShare > HEAVY_LOSS) return []
    const serving = [...this.running.values()].filter(one => !one.paused && !one.isolated && one.routerRevision > 0)
    const centres = [...new Set(serving.map(one => one.dataCentre))]
    const reached = new Set(['platform'])
    for (let hop = 0; hop < centres.length; hop++) {
      for (const dc of centres) if ([...reached].some(from => !this.isCut(from, dc))) reached.add(dc)
    }
    return serving.filter(one => reached.has(one.dataCentre)).map(one => one.vm)
  }

  /** Asks one VM whether a revision is in force, and checks a yes against the truth. */
  async checkInForce (vm: string, revision: Revision): Promise<StatusCondition | null> {
    const process = this.running.get(vm)
    if (process === undefined || process.paused) return null
    const listed = await this.#open(process).listVms().catch(() => null)
    const condition = this.#variant.describe(revision, { vms: process.node.buildStatus().vms, listed })
    const behind = [...this.running.values()].filter(one => this.#isServing(one) && one.routerRevision < revision).map(one => one.vm)
    if (condition.status === 'true' && behind.length > 0) this.problems.push(`${vm} says ${revision} is in force, but not on ${behind.join()}`)
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
    this.#take(process, { type: 'tick' })
    this.#checkStates(process)
  }

  #take (process: SimVm, event: ControlEvent): void {
    if (process.killed) return
    const before = process.node.replica.snapshot.revision
    this.#run(process, process.node.take(event))
    if (process.node.replica.snapshot.revision < before) this.problems.push(`${process.vm} went back from revision ${before}`)
  }

  /** Runs when the VM is awake: at once, or when it wakes. */
  #runAwake (process: SimVm, act: () => void): void {
    if (process.killed) return
    if (process.paused) process.held.push(act)
    else act()
  }

  #run (process: SimVm, actions: ControlAction[]): void {
    for (const action of actions) this.#runOne(process, action)
  }

  #runOne (process: SimVm, action: ControlAction): void {
    switch (action.type) {
      case 'exchange':
        return this.#call(process, action.url, peer => this.#answer(peer, action.request), answer => this.#take(process, { type: 'answered', url: action.url, answer: answer as never }), () => this.#take(process, { type: 'unanswered', url: action.url }))
      case 'push':
        return this.#call(process, action.url, peer => this.#take(peer, { type: 'pushed', push: clone(action.push) as PushRequest }), () => {}, () => {})
      case 'readSnapshot':
        return this.#call(process, action.url, peer => peer.node.replica.snapshot, snapshot => this.#take(process, { type: 'snapshotRead', snapshot: snapshot as never }), () => {})
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

  #answer (peer: SimVm, request: ExchangeRequest): unknown {
    const { answer, actions } = peer.node.answerExchange(clone(request) as ExchangeRequest)
    this.#run(peer, actions)
    return answer
  }

  #call (process: SimVm, url: string, serve: (peer: SimVm) => unknown, take: (answer: unknown) => void, miss: () => void): void {
    let isDone = false
    const finish = (act: () => void) => {
      if (isDone) return
      isDone = true
      this.#runAwake(process, act)
    }
    const peer = this.running.get(url.slice('http://'.length))
    setTimeout(() => finish(miss), CALL_TIMEOUT_MS)
    if (peer === undefined || this.isApart(process, peer)) return
    const copies = this.#rng.float() < this.bus.doubleShare ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      this.#send(() => this.#runAwake(peer, () => {
        const answer = clone(serve(peer))
        if (!this.isApart(process, peer)) this.#send(() => finish(() => take(answer)))
      }))
    }
  }

  #send (deliver: () => void): void {
    if (this.#rng.float() < this.bus.lossShare) return
    const isLate = this.#rng.float() < this.bus.lateShare
    setTimeout(deliver, 1 + this.#rng.int(isLate ? this.bus.lateMs : 5))
  }

  async #readPlatform (process: SimVm, after: Revision, withList: boolean): Promise<void> {
    const platform = this.#open(process)
    try {
      const read = await readPlatform(platform, new ResourceStore(platform), after, withList)
      this.#runAwake(process, () => this.#take(process, { type: 'platformRead', read }))
    } catch {
      this.#runAwake(process, () => this.#take(process, { type: 'platformSilent' }))
    }
  }

  #open (process: SimVm): Platform {
    const { platform } = this
    const check = () => { if (process.isolated || this.isCut(process.dataCentre, 'platform')) throw new PlatformUnreachableError('Cut.') }
    return {
      read: async (table, key) => { check(); return platform.read(table, key) },
      scan: async request => { check(); return platform.scan(request) },
      transact: async transaction => { check(); return platform.transact(transaction) },
      getObject: async name => { check(); return platform.getObject(name) },
      putObject: async (name, text) => { check(); return platform.putObject(name, text) },
      listVms: async () => { check(); return platform.listVms() }
    }
  }

  async #pushRouter (process: SimVm): Promise<void> {
    const { revision } = process.node.buildRouterSnapshot().resources
    await sleep(ROUTER_MS)
    this.#runAwake(process, () => {
      process.routerRevision = Math.max(process.routerRevision, revision)
      this.#take(process, { type: 'routerAcked', revision: process.routerRevision })
    })
  }

  /** Leaving and dead are final for an incarnation, as one VM sees it. */
  #checkStates (process: SimVm): void {
    for (const view of process.node.vms.listVms().slice(1)) {
      const key = `${process.node.vms.self.view.incarnation}/${view.incarnation}`
      const former = this.#finals.get(key)
      if (view.state === 'leaving' || view.state === 'dead') this.#finals.set(key, view.state)
      const isBack = (former !== undefined && view.state !== 'leaving' && view.state !== 'dead') || (former === 'dead' && view.state === 'leaving')
      if (isBack) this.problems.push(`${process.vm} holds ${view.vm} for ${view.state} after ${former}`)
    }
  }
}

/** An organisation to declare. */
export function buildOrganisation (name: string, weight = 1): Resource {
  return { kind: 'Organisation', name, revision: 0, spec: { weight } }
}

function createName (index: number): string {
  return index.toString(16).padStart(8, '0').repeat(2)
}

function clone (value: unknown): unknown {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value))
}
