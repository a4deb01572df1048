import { createRng } from 'knapweedshunt-utils'
import type { Rng } from 'knapweedshunt-utils'
import type { EndpointLimitReport } from '../endpointLimitReport.ts'
import { EndpointRateLimits } from '../endpointRateLimits.ts'

/** Time during which requests of a VM do not count after it restarted, was cut off or learnt the limit, and after the limit was first stated, in milliseconds. */
const STABLE_MS = 3_000
const TOLD_DELAY_MS = 500

const WINDOW_MS = 4_000
const ANSWER_MS = 20
const TICK_MS = 250
const MS_PER_SECOND = 1_000
const POOL = 'p'

/** A deployment whose VMs share one table, and what happens to it. */
export interface LimitScenario {
  seed: number
  vmCount: number
  /** Limits of the endpoints, in requests per second; all belong to one pool. */
  limits: number[]
  /** Requests per second of each VM, drawn anew at this interval; with null they stay. */
  maxDemandPerS: number
  demandChangeMs: number | null
  /** Whether no VM has any demand in every other interval. */
  hasQuietTimes: boolean
  /** Longest time until a written row is read by another VM, in milliseconds. */
  maxExchangeMs: number
  disturbances: Array<{ atMs: number, vm: number, type: 'restart' | 'cut' | 'outage' | 'remove' | 'add', durationMs: number }>
  durationMs: number
}

interface SimulatedVm {
  name: string
  start: number
  limits: EndpointRateLimits
  demandPerS: number
  isReady: boolean
  isCut: boolean
  isRemoved: boolean
  disturbedAtMs: number
  reportsReadAtMs: number
  toldAtMs: Map<string, number>
}

interface TableRow { incarnation: string, report: EndpointLimitReport, n: number }

interface SentRequest { endpoint: string, atMs: number, isCounted: boolean }

/** Simulates VMs that send requests to limited endpoints and exchange their reports through a table. Runs on the fake clock. */
export class EndpointLimitSimulation {
  readonly #scenario: LimitScenario
  readonly #rng: Rng
  readonly #vms: SimulatedVm[] = []
  readonly #table = new Map<string, TableRow>()
  readonly #listedVms = new Set<string>()
  readonly #stated = new Map<string, number | null>()
  readonly sent: SentRequest[] = []
  readonly refusedCounts = { limited: 0 }
  #isStoreDown = false
  #isQuiet = false
  #rowNumber = 0

  constructor (scenario: LimitScenario) {
    this.#scenario = scenario
    this.#rng = createRng(scenario.seed)
    scenario.limits.forEach((limit, n) => this.#stated.set(`e${n}`, limit))
  }

  start (): void {
    for (let n = 0; n < this.#scenario.vmCount; n++) this.#addVm()
    for (const { atMs, vm, type, durationMs } of this.#scenario.disturbances) setTimeout(() => this.#disturb(this.#vms[vm % this.#vms.length], type, durationMs), atMs)
    if (this.#scenario.demandChangeMs !== null) setInterval(() => this.#changeDemands(), this.#scenario.demandChangeMs)
  }

  /** Changes what an endpoint states; null for no limit. */
  state (endpoint: string, requestsPerS: number | null): void {
    this.#stated.set(endpoint, requestsPerS)
  }

  /** Sets the demands of the VMs, in requests per second. */
  setDemands (demands: number[]): void {
    demands.forEach((demand, n) => { this.#vms[n].demandPerS = demand })
  }

  /** Limits that a VM knows, by endpoint. */
  listKnown (vm: number): Array<number | null> {
    return this.#scenario.limits.map((_, n) => this.#vms[vm].limits.findLimit(`e${n}`))
  }

  /** Counts the most requests in a window that an endpoint got from VMs that knew its limit and were not disturbed. */
  countMostInWindow (endpoint: string): number {
    const counted = this.sent.filter(request => request.endpoint === endpoint && request.isCounted).map(({ atMs }) => atMs)
    let startIndex = 0
    return Math.max(0, ...counted.map((endMs, i) => {
      while (counted[startIndex] <= endMs - WINDOW_MS) startIndex++
      return endMs >= STABLE_MS ? i - startIndex + 1 : 0
    }))
  }

  #addVm (): void {
    const name = `vm-${this.#vms.length}`
    const vm: SimulatedVm = { name, start: 0, limits: new EndpointRateLimits(name, `${name}@0`), demandPerS: this.#drawDemand(), isReady: false, isCut: false, isRemoved: false, disturbedAtMs: -Infinity, reportsReadAtMs: -Infinity, toldAtMs: new Map() }
    this.#vms.push(vm)
    this.#startVm(vm)
    setInterval(() => this.#tick(vm), TICK_MS)
    this.#scheduleRequest(vm)
  }

  #startVm (vm: SimulatedVm): void {
    if (!this.#canReach(vm)) {
      setTimeout(() => this.#startVm(vm), TICK_MS)
      return
    }
    this.#listedVms.add(vm.name)
    vm.isReady = true
    this.#readTable(vm)
    for (const other of this.#vms) if (other !== vm) this.#exchange(other, () => other.limits.setVms(this.#listVms()))
  }

  #readTable (vm: SimulatedVm): void {
    vm.limits.setVms(this.#listVms())
    for (const [name, { incarnation, report }] of this.#table) vm.limits.applyReport(name, incarnation, report)
  }

  #listVms (): string[] {
    return [...this.#listedVms]
  }

  #canReach (vm: SimulatedVm): boolean {
    return !this.#isStoreDown && !vm.isCut
  }

  #tick (vm: SimulatedVm): void {
    if (vm.isRemoved || !vm.isReady) return
    if (this.#canReach(vm)) {
      vm.reportsReadAtMs = performance.now()
      vm.limits.setVms(this.#listVms())
    }
    vm.limits.update(vm.reportsReadAtMs)
    this.#announce(vm)
  }

  #announce (vm: SimulatedVm): void {
    if (vm.limits.needsReport()) this.#write(vm, vm.start, vm.limits.buildReport())
  }

  #write (vm: SimulatedVm, start: number, report: EndpointLimitReport): void {
    if (vm.isRemoved || vm.start !== start) return
    if (!this.#canReach(vm)) {
      setTimeout(() => this.#write(vm, start, report), TICK_MS)
      return
    }
    const row = { incarnation: `${vm.name}@${start}`, report, n: ++this.#rowNumber }
    this.#table.set(vm.name, row)
    for (const other of this.#vms) this.#exchange(other, () => this.#readRow(other, vm.name, row))
  }

  #readRow (reader: SimulatedVm, name: string, row: TableRow): void {
    if (this.#table.get(name) === row && reader.isReady) reader.limits.applyReport(name, row.incarnation, row.report)
  }

  /** Runs once the VM can read what has changed; a VM that cannot reads the whole table later. */
  #exchange (vm: SimulatedVm, read: () => void): void {
    setTimeout(() => {
      if (this.#canReach(vm)) return read()
      const timer = setInterval(() => {
        if (!this.#canReach(vm)) return
        clearInterval(timer)
        if (vm.isReady) this.#readTable(vm)
      }, TICK_MS)
    }, this.#rng.drawInt(this.#scenario.maxExchangeMs))
  }

  #changeDemands (): void {
    this.#isQuiet = this.#scenario.hasQuietTimes && !this.#isQuiet
    for (const vm of this.#vms) vm.demandPerS = this.#isQuiet ? 0 : this.#drawDemand()
  }

  #drawDemand (): number {
    return this.#rng.drawFloat() ** 3 * this.#scenario.maxDemandPerS
  }

  #scheduleRequest (vm: SimulatedVm): void {
    if (vm.isRemoved) return
    setTimeout(() => {
      if (vm.isReady) this.#sendRequest(vm)
      this.#scheduleRequest(vm)
    }, Math.min(MS_PER_SECOND, -Math.log(1 - this.#rng.drawFloat()) * MS_PER_SECOND / Math.max(0.1, vm.demandPerS)))
  }

  #sendRequest (vm: SimulatedVm): void {
    vm.limits.recordDemand(POOL)
    const endpoints = [...this.#stated.keys()]
    const offset = this.#rng.drawInt(endpoints.length)
    const endpoint = endpoints.map((_, n) => endpoints[(n + offset) % endpoints.length]).find(one => vm.limits.canSend(one))
    if (endpoint === undefined) {
      this.refusedCounts.limited++
      return
    }
    vm.limits.tryTake(endpoint)
    const { start } = vm
    const atMs = performance.now()
    const isUndisturbed = !vm.isCut && atMs - vm.disturbedAtMs >= STABLE_MS
    this.sent.push({ endpoint, atMs, isCounted: isUndisturbed && atMs >= (vm.toldAtMs.get(endpoint) ?? Infinity) + TOLD_DELAY_MS })
    const stated = this.#stated.get(endpoint) ?? null
    setTimeout(() => {
      if (vm.start !== start) return
      if (stated !== null && !vm.toldAtMs.has(endpoint)) vm.toldAtMs.set(endpoint, performance.now())
      vm.limits.recordStated(endpoint, POOL, stated, atMs)
      this.#announce(vm)
    }, ANSWER_MS)
  }

  #disturb (vm: SimulatedVm, type: LimitScenario['disturbances'][number]['type'], durationMs: number): void {
    if (type === 'add') return this.#addVm()
    if (type === 'outage') {
      this.#isStoreDown = true
      setTimeout(() => { this.#isStoreDown = false }, durationMs)
      return
    }
    vm.disturbedAtMs = performance.now()
    if (type === 'remove') {
      vm.isRemoved = true
      vm.isReady = false
      return
    }
    if (type === 'cut') {
      vm.isCut = true
      setTimeout(() => { vm.isCut = false; vm.disturbedAtMs = performance.now() }, durationMs)
      return
    }
    vm.start++
    vm.isReady = false
    vm.toldAtMs.clear()
    vm.limits = new EndpointRateLimits(vm.name, `${vm.name}@${vm.start}`)
    setTimeout(() => { if (!vm.isRemoved) this.#startVm(vm) }, Math.min(durationMs, MS_PER_SECOND))
  }
}
