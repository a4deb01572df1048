import { computeAccrual, computeUsageCapacity } from './usageRule.ts'
import type { UsageRule } from './usageRule.ts'

/** Time after a contact with an accountant that hears most VMs for which a share accrues in full, in milliseconds. */
export const SHARE_CONTACT_MS = 4_000

/** Part of its share that a VM without such a contact accrues; the accountant may issue the rest. */
export const UNCONNECTED_PART = 0.25

/** Time for which units of requests that did not run can be handed over, in milliseconds. */
const RETURN_MS = 2_000

/** How a share begins. */
export interface ShareStart {
  /** Units that all VMs together have. */
  units: number
  /** Time from which it counts as in contact, for a while. */
  connectedFromMs: number
}

/** What this VM may use of an organisation's limit by itself: an equal part of the rate and of the capacity. */
export class UsageShare {
  #rule: UsageRule
  #vmCount: number
  #level = 0
  #accruedAtMs: number
  #contactAtMs = -Infinity
  readonly #connectedFromMs: number
  #connectedUntilMs: number
  /** Units of all VMs together at the start; 0 once this VM has its part of them. */
  #unissued: number
  #lentUntilMs = -Infinity
  #returned = 0
  #returnedAtMs = -Infinity

  /** `vmCount` is Infinity while the VMs are not known. */
  constructor (rule: UsageRule, vmCount: number, nowMs: number, { units, connectedFromMs }: ShareStart) {
    this.#rule = rule
    this.#vmCount = vmCount
    this.#accruedAtMs = nowMs
    this.#connectedFromMs = connectedFromMs
    this.#connectedUntilMs = connectedFromMs + SHARE_CONTACT_MS
    this.#unissued = units
    this.#issueStart()
  }

  /** Whether an accountant that hears most VMs was in contact lately. */
  isConnected (nowMs: number): boolean {
    return nowMs - this.#contactAtMs <= SHARE_CONTACT_MS
  }

  /** Units that the share holds. */
  getLevel (nowMs: number): number {
    this.#accrue(nowMs)
    return this.#level
  }

  /** Replaces the limit and the number of VMs; what the share holds beyond its new capacity is dropped. */
  setTerms (rule: UsageRule, vmCount: number, nowMs: number): void {
    this.#accrue(nowMs)
    this.#rule = rule
    this.#vmCount = vmCount
    this.#issueStart()
    this.#level = Math.min(this.#level, this.#capacity)
    this.#returned = Math.min(this.#returned, computeUsageCapacity(rule))
  }

  /** Records a contact with an accountant that hears most VMs. */
  recordContact (nowMs: number): void {
    this.#accrue(nowMs)
    this.#contactAtMs = nowMs
    this.#connectedUntilMs = nowMs + SHARE_CONTACT_MS
  }

  /** Takes units; false if the share holds fewer. */
  tryTake (amount: number, nowMs: number): boolean {
    this.#accrue(nowMs)
    if (this.#level < amount) return false
    this.#level -= amount
    return true
  }

  /** Takes all units, to hand them over. */
  takeAll (nowMs: number): number {
    this.#accrue(nowMs)
    const taken = this.#level + (nowMs - this.#returnedAtMs <= RETURN_MS ? this.#returned : 0)
    this.#level = 0
    this.#returned = 0
    return taken
  }

  /** Leaves what accrues in a time to come to the accountant. Returns for how much longer than before, in milliseconds; the time must not exceed {@link SHARE_CONTACT_MS}. */
  lend (durationMs: number, nowMs: number): number {
    this.#accrue(nowMs)
    const addedMs = nowMs + durationMs - Math.max(nowMs, this.#lentUntilMs)
    this.#lentUntilMs = Math.max(this.#lentUntilMs, nowMs + durationMs)
    return Math.max(0, addedMs)
  }

  /** Puts back the units of a request that did not run. What the share cannot hold is handed over if the accountant asks soon. */
  putBack (amount: number, nowMs: number): void {
    this.#accrue(nowMs)
    const kept = Math.min(amount, Math.max(0, this.#capacity - this.#level))
    this.#level += kept
    this.#returned = (nowMs - this.#returnedAtMs <= RETURN_MS ? this.#returned : 0) + amount - kept
    this.#returnedAtMs = nowMs
  }

  get #capacity (): number {
    return computeUsageCapacity(this.#rule) / this.#vmCount
  }

  #issueStart (): void {
    if (this.#vmCount === Infinity) return
    this.#level += this.#unissued / this.#vmCount
    this.#unissued = 0
  }

  #accrue (nowMs: number): void {
    const fromMs = Math.max(this.#accruedAtMs, Math.min(nowMs, this.#lentUntilMs))
    const connectedMs = Math.max(0, Math.min(nowMs, this.#connectedUntilMs) - Math.max(fromMs, this.#connectedFromMs))
    const elapsedMs = Math.max(0, nowMs - fromMs)
    const added = computeAccrual(this.#rule, 1 / this.#vmCount, connectedMs + (elapsedMs - connectedMs) * UNCONNECTED_PART)
    this.#level = Math.max(this.#level, Math.min(this.#capacity, this.#level + added))
    this.#accruedAtMs = nowMs
  }
}
