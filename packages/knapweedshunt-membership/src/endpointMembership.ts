import type { EndpointName, EndpointView, Incarnation, Liveness, LoadReport, VmId } from 'knapweedshunt-types'
import type { EndpointBoot } from './endpointBoardDelta.ts'
import { DEFAULT_ENDPOINT_OPTIONS } from './endpointOptions.ts'
import type { EndpointOptions } from './endpointOptions.ts'
import { EndpointEvidence } from './endpointEvidence.ts'
import type { DataPathOutcome } from './endpointEvidence.ts'
import type { KnownVm } from './knownVm.ts'
import { findFirstVm, hashNumber } from './rankVms.ts'

/** Tellers other than the one that polls an endpoint which must doubt it before it is suspect. */
const DOUBTS = 2

/** Which endpoints of the data centre live; the VMs share the polling and tell each other the reports. Opens nothing. */
export class EndpointMembership {
  readonly #options: EndpointOptions
  readonly #evidence = new Map<EndpointName, EndpointEvidence>()
  #names: EndpointName[] = []
  #indexes = new Map<EndpointName, number>()
  #set = ''
  #owners: VmId[] = []
  #assigned: EndpointName[] = []
  #assignedFor = ''

  constructor (options: EndpointOptions = DEFAULT_ENDPOINT_OPTIONS) {
    this.#options = options
  }

  /** Sets which endpoints the data centre has. */
  setEndpoints (names: EndpointName[]): void {
    this.#names = [...names].sort()
    this.#indexes = new Map(this.#names.map((name, index) => [name, index]))
    this.#set = `${this.#names.length}-${hashNumber(this.#names.join()).toString(36)}`
    this.#assignedFor = ''
    for (const name of this.#evidence.keys()) if (!this.#indexes.has(name)) this.#evidence.delete(name)
  }

  /** Shares the endpoints out by rank among the live VMs. Returns those that this VM polls. */
  listAssigned (self: KnownVm, live: VmId[]): EndpointName[] {
    self.board.openSet(this.#set, self.version + 1)
    const key = `${this.#set}|${self.view.incarnation}|${live.join()}`
    if (key === this.#assignedFor) return this.#assigned
    this.#assignedFor = key
    const { vm } = self.view
    this.#owners = this.#names.map(name => findFirstVm(name, live) ?? vm)
    this.#assigned = this.#names.filter((_, index) => this.#owners[index] === vm)
    this.#names.forEach((name, index) => {
      if (this.#owners[index] !== vm) this.#releaseOne(self, name, index)
    })
    return this.#assigned
  }

  /** Takes an answer to a poll. */
  takeLoad (self: KnownVm, load: LoadReport): void {
    const index = this.#indexes.get(load.endpoint)
    if (index === undefined) return
    const evidence = this.#open(load.endpoint)
    evidence.takeLoad(load)
    self.board.openSet(this.#set, self.version + 1)
    self.board.setBoot(buildBoot(index, evidence.incarnation, load), self.version + 1)
    self.board.setLoad(index, load, self.version + 1)
  }

  /** Takes that a poll was not answered. */
  takeSilence (endpoint: EndpointName, isRefused: boolean): void {
    if (this.#indexes.has(endpoint)) this.#open(endpoint).takeSilence(isRefused)
  }

  /** Takes what the data path saw. Returns whether the endpoint's state changed. */
  takeOutcome (endpoint: EndpointName, outcome: DataPathOutcome): boolean {
    if (!this.#indexes.has(endpoint)) return false
    const evidence = this.#open(endpoint)
    const before = evidence.judge()
    evidence.takeOutcome(outcome)
    return evidence.judge() !== before
  }

  /** Writes to this VM's board which endpoints it holds for suspect or dead. */
  writeDown (self: KnownVm): void {
    const down: number[] = []
    const dead: number[] = []
    for (const [name, evidence] of this.#evidence) {
      const index = this.#indexes.get(name)
      const state = evidence.judge()
      if (index !== undefined && state !== 'live') down.push(index)
      if (index !== undefined && state === 'dead') dead.push(index)
    }
    self.board.openSet(this.#set, self.version + 1)
    self.board.setDown(down.sort(compareNumbers), dead.sort(compareNumbers), self.version + 1)
  }

  /** All endpoints of the data centre that were polled, by this VM or another. */
  listEndpoints (self: KnownVm, tellers: KnownVm[]): EndpointView[] {
    const others = new Map(tellers.filter(one => one !== self && one.board.set === this.#set).map(one => [one.view.vm, one]))
    const doubts = countDoubts([...others.values()])
    return this.#names.map((name, index) => this.#describe(name, index, others, doubts)).filter(view => view !== null)
  }

  #describe (name: EndpointName, index: number, others: Map<VmId, KnownVm>, doubts: Map<number, number>): EndpointView | null {
    const own = this.#evidence.get(name)
    if (own?.isPolled) return this.#describeOwn(name, own)
    const owner = others.get(this.#owners[index])
    const teller = owner?.board.boots.has(index) ? owner : [...others.values()].find(one => one.board.boots.has(index))
    if (teller) return this.#describeTold(name, index, teller, own, doubts.get(index) ?? 0)
    const isDown = own !== undefined || owner?.board.down.value.includes(index)
    return isDown ? { endpoint: name, incarnation: '', state: own?.judge() ?? 'suspect', weightsVersion: null, load: null, loadAgeMs: 0 } : null
  }

  #describeOwn (endpoint: EndpointName, own: EndpointEvidence): EndpointView {
    const { load, incarnation, silentMs } = own
    return { endpoint, incarnation, state: own.judge(), weightsVersion: load?.weightsVersion ?? null, load, loadAgeMs: silentMs }
  }

  #describeTold (endpoint: EndpointName, index: number, teller: KnownVm, own: EndpointEvidence | undefined, doubts: number): EndpointView {
    const { boots, loads, down, dead } = teller.board
    const { i: _, ...boot } = boots.get(index)!.value
    const { incarnation, weightsVersion } = boot
    const ageMs = performance.now() - teller.heardAtMs
    const isStale = ageMs >= this.#options.deadAfterMs
    const isDoubted = own !== undefined && own.judge() !== 'live'
    const isSuspect = down.value.includes(index) || doubts >= DOUBTS || isStale || isDoubted
    const state: Liveness = dead.value.includes(index) ? 'dead' : isSuspect ? 'suspect' : 'live'
    const told = loads.get(index)?.value
    const load: LoadReport | null = told ? { endpoint, ...boot, ...told, atMs: 0 } : null
    return { endpoint, incarnation, state, weightsVersion, load, loadAgeMs: ageMs }
  }

  #releaseOne (self: KnownVm, name: EndpointName, index: number): void {
    self.board.release(index)
    this.#evidence.delete(name)
  }

  #open (name: EndpointName): EndpointEvidence {
    const known = this.#evidence.get(name)
    if (known) return known
    const evidence = new EndpointEvidence(this.#options)
    this.#evidence.set(name, evidence)
    return evidence
  }
}

function buildBoot (i: number, incarnation: Incarnation, { weightsVersion, adapter, role }: LoadReport): EndpointBoot {
  return { i, incarnation, weightsVersion, ...(adapter ? { adapter } : {}), ...(role && role !== 'serve' ? { role } : {}) }
}

function countDoubts (tellers: KnownVm[]): Map<number, number> {
  const counts = new Map<number, number>()
  for (const teller of tellers) {
    for (const index of teller.board.down.value) counts.set(index, (counts.get(index) ?? 0) + 1)
  }
  return counts
}

function compareNumbers (a: number, b: number): number {
  return a - b
}
