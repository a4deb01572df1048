import type { Clock } from '@sinonjs/fake-timers'
import { createRng, sleep } from 'knapweedshunt-utils'
import { UsageLimits } from '../limits/usageLimits.ts'
import type { UsageAdmission } from '../limits/usageLimits.ts'
import { USAGE_UNIT } from '../ports/gatewayConfig.ts'
import type { UsageLimit } from '../ports/gatewayConfig.ts'

export const ORGANISATION = 'org'
const NETWORK_MS = 2
const CALL_TIMEOUT_MS = 250
const TICK_MS = 5

/** Requests of one organisation: mean arrivals per second over all VMs, sizes, and how unevenly they spread; a skew of 0 is even. */
export interface UsageDemand { perS: number, sizes: number[], skew: number, shiftEveryMs: number }

interface Vm { name: string, limits: UsageLimits, vms: readonly string[], part: number, isDown: boolean }

/** VMs whose limits exchange messages in memory, on a faked clock. A cut is a number of the part that a VM belongs to. */
export class UsageFleet {
  readonly vms: Vm[] = []
  readonly admitted: Array<{ atMs: number, amount: number }> = []
  readonly refusals: Array<{ atMs: number, waitMs: number }> = []
  demanded = 0
  callCount = 0
  readonly rng
  #limit: UsageLimit

  constructor (count: number, limit: UsageLimit, seed = 20261207) {
    this.rng = createRng(seed)
    this.#limit = limit
    this.add(count)
  }

  /** Adds VMs that all others know at once. */
  add (count: number): void {
    for (let i = 0; i < count; i++) this.vms.push(this.#createVm(`vm-${this.vms.length}`))
    const names = this.vms.map(({ name }) => name)
    for (const vm of this.vms) vm.vms = names
    this.applyLimit(this.#limit)
  }

  /** Starts VMs again that have ended; they remember nothing. */
  restart (vm: Vm): void {
    const index = this.vms.indexOf(vm)
    this.vms[index] = { ...this.#createVm(vm.name), vms: vm.vms }
    this.#apply(this.vms[index])
  }

  applyLimit (limit: UsageLimit): void {
    this.#limit = limit
    for (const vm of this.vms) this.#apply(vm)
  }

  /** Runs the demand for a time; the clock must be faked. */
  async run (clock: Clock, durationMs: number, { perS, sizes, skew, shiftEveryMs }: UsageDemand): Promise<void> {
    const endMs = performance.now() + durationMs
    for (let due = 0; performance.now() < endMs; await clock.tickAsync(TICK_MS)) {
      due += perS * TICK_MS / 1_000 * (0.5 + this.rng.drawFloat())
      for (; due >= 1; due--) {
        const offset = Math.floor(performance.now() / shiftEveryMs) * 7
        let index = (Math.floor(this.vms.length * this.rng.drawFloat() ** (1 + skew)) + offset) % this.vms.length
        while (this.vms[index].isDown) index = (index + 1) % this.vms.length
        this.#request(this.vms[index], sizes[this.rng.drawInt(sizes.length)])
      }
    }
  }

  /** Largest sum of admitted units in any 8 s, relative to rate x 8 s + burst. */
  measurePeak ({ ratePerS, burst }: UsageLimit, fromMs = 0): number {
    const admitted = this.admitted.filter(({ atMs }) => atMs >= fromMs)
    let peak = 0
    for (let from = 0, to = 0, sum = 0; to < admitted.length; to++) {
      sum += admitted[to].amount
      while (admitted[to].atMs - admitted[from].atMs > 8_000) sum -= admitted[from++].amount
      peak = Math.max(peak, sum)
    }
    return peak / (ratePerS * 8 + burst)
  }

  /** Units admitted per second since a time. */
  measureRate (fromMs: number): number {
    return this.admitted.reduce((sum, { atMs, amount }) => atMs >= fromMs ? sum + amount : sum, 0) / (performance.now() - fromMs) * 1_000
  }

  #request (vm: Vm, amount: number): void {
    this.demanded += amount
    vm.limits.admit(ORGANISATION, amount).then((admission: UsageAdmission) => {
      if (admission.type === 'admitted') this.admitted.push({ atMs: performance.now(), amount })
      else this.refusals.push({ atMs: performance.now(), waitMs: admission.waitMs ?? Infinity })
    }, () => { throw new Error('admit threw') })
  }

  #apply ({ limits }: Vm): void {
    limits.applyLimits([{ organisation: ORGANISATION, keys: [], priority: null, isIsolated: false, usageLimit: this.#limit }])
  }

  #createVm (name: string): Vm {
    const limits = new UsageLimits({
      vm: name,
      dataCentre: getDataCentre(name),
      incarnation: `${name} ${performance.now()}`,
      listVms: () => this.#find(name).vms,
      listAccountants: () => this.#find(name).vms.map(vm => ({ vm, dataCentre: getDataCentre(vm) })),
      call: (vm, method, params) => this.#call(name, vm, method, params),
      randomizeDelayMs: meanMs => meanMs * (0.5 + this.rng.drawFloat()),
      onFailed: () => {}
    })
    return { name, limits, vms: [], part: 0, isDown: false }
  }

  #find (name: string): Vm {
    return this.vms.find(vm => vm.name === name)!
  }

  async #call (from: string, to: string, method: string, params: unknown): Promise<unknown> {
    this.callCount++
    const vm = this.#find(to)
    await sleep(NETWORK_MS)
    if (vm.isDown) throw Object.assign(new Error('nothing listens'), { code: 'ECONNREFUSED' })
    if (vm.part !== this.#find(from).part) {
      await sleep(CALL_TIMEOUT_MS)
      throw new Error('no answer')
    }
    const result = await (method === 'usage.exchange' ? vm.limits.handleExchange(params) : vm.limits.handleCollect(params))
    await sleep(NETWORK_MS)
    return JSON.parse(JSON.stringify(result))
  }
}

/** Builds a limit in tokens. */
export function buildTokenLimit (ratePerS: number, burst: number): UsageLimit {
  return { unit: USAGE_UNIT.tokens, ratePerS, burst, plainTokens: 200 }
}

function getDataCentre (vm: string): string {
  return `z${Number(vm.slice(3)) % 3}`
}
