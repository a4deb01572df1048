import type { VmId } from 'knapweedshunt-types'
import { computeCollectIntervalMs, computeFirstIntervalMs } from './usageIntervals.ts'
import { computeAccrual, computeMaxUsageDebt, computeUsageCapacity } from './usageRule.ts'
import type { UsageRule } from './usageRule.ts'

const MS_PER_SECOND = 1_000

/** Time since the last request for which an account counts as in use, in milliseconds. */
const IN_USE_MS = 5_000

/** Fill of the account, as a part of its capacity, below which shares are collected before a request finds too little. */
const LOW_FILL = 0.5

/** Part of the capacity that an account may hold without loans beside that of the accountant that most VMs ask. */
const SECOND_CAPACITY = 0.25

/** Shortest and longest time after which a refused request may return, in milliseconds. */
const RETURN_DELAY = { minMs: 50, maxMs: 5_000 }

/** Admitted, or the time after which there may be room, in milliseconds. */
export type UsageDecision =
  | { type: 'admitted' }
  | { type: 'refused', waitMs: number }

interface KnownShare {
  /** Time at which the share was last handed over. */
  handedOverAtMs: number
  /** Time until which the accountant issues the share. */
  lentUntilMs: number
  /** Time up to which it was issued. */
  issuedAtMs: number
}

/** The account that an accountant keeps for one organisation: units that VMs handed over, and those of shares that are lent or that nobody else issues. */
export class UsageAccount {
  #rule: UsageRule
  #vms: readonly VmId[]
  #level = 0
  #askedAtMs = -Infinity
  #collectedAtMs = -Infinity
  #wasLent = false
  /** Time until which the rate is promised to refused requests. */
  #promisedAtMs = -Infinity
  readonly #shares = new Map<VmId, KnownShare>()

  constructor (rule: UsageRule, vms: readonly VmId[], nowMs: number) {
    this.#rule = rule
    this.#vms = vms
    for (const vm of vms) this.#getOrCreateShare(vm, nowMs)
  }

  /** Whether VMs asked lately. */
  isInUse (nowMs: number): boolean {
    return nowMs - this.#askedAtMs <= IN_USE_MS
  }

  /** Replaces the limit and the VMs. */
  setTerms (rule: UsageRule, vms: readonly VmId[], nowMs: number): void {
    this.#rule = rule
    this.#vms = vms
    const present = new Set(vms)
    for (const vm of this.#shares.keys()) if (!present.has(vm)) this.#shares.delete(vm)
    for (const vm of vms) this.#getOrCreateShare(vm, nowMs)
    this.#level = Math.min(this.#level, computeUsageCapacity(rule))
  }

  /** Issues what accrued since the last call: shares that are lent in full, and the parts that VMs leave to the accountant. */
  issue (leftParts: Map<VmId, number>, nowMs: number): void {
    for (const vm of this.#vms) this.#issueShare(this.#getOrCreateShare(vm, nowMs), leftParts.get(vm) ?? 0, nowMs)
  }

  /** Adds the units that a VM handed over, and lends its share for some time more. A VM that has started anew knows of no earlier loan. */
  add (vm: VmId, { units, lentMs, isNew }: { units: number, lentMs: number, isNew: boolean }, nowMs: number): void {
    const share = this.#getOrCreateShare(vm, nowMs)
    this.#issueShare(share, 0, nowMs)
    this.#level += units
    share.handedOverAtMs = nowMs
    share.lentUntilMs = (isNew ? nowMs : Math.max(nowMs, share.lentUntilMs)) + lentMs
  }

  /** Drops what exceeds the capacity. What the shares may hold counts against it; `leftParts` tells the VMs whose shares hold little. An account beside that of the accountant that most VMs ask holds a quarter, or as much as the shares lent to it. */
  limitLevel (leftParts: Map<VmId, number>, isFirst: boolean, nowMs: number): void {
    const capacity = computeUsageCapacity(this.#rule)
    const part = 1 / this.#vms.length
    let inShares = 0
    let lentCount = 0
    for (const vm of this.#vms) {
      const { handedOverAtMs, lentUntilMs } = this.#getOrCreateShare(vm, nowMs)
      inShares += (1 - (leftParts.get(vm) ?? 0)) * Math.min(capacity * part, computeAccrual(this.#rule, part, nowMs - Math.max(handedOverAtMs, lentUntilMs)))
      if (lentUntilMs > nowMs) lentCount++
    }
    this.#level = Math.min(this.#level, capacity - inShares, isFirst ? Infinity : capacity * Math.max(SECOND_CAPACITY, lentCount * part))
  }

  /** Whether the account covers so many units. */
  canCover (wanted: number): boolean {
    return this.#level > 0 && this.#level - wanted >= -computeMaxUsageDebt(this.#rule)
  }

  /** Whether shares should be collected; `wanted` units are asked for now. `canBeLent` if VMs would lend their shares: soon after a first collection, which showed that most VMs are heard. */
  shouldCollect (wanted: number, canBeLent: boolean, nowMs: number): boolean {
    if (this.canCover(wanted) && this.#level >= computeUsageCapacity(this.#rule) * LOW_FILL) return false
    const dueMs = canBeLent && !this.#wasLent ? computeFirstIntervalMs(this.#vms.length) : computeCollectIntervalMs(this.#vms.length)
    return nowMs - this.#collectedAtMs >= dueMs
  }

  /** Records that a collection begins; `isLent` if VMs lend their shares to it. */
  recordCollection (isLent: boolean, nowMs: number): void {
    this.#collectedAtMs = nowMs
    this.#wasLent = isLent
  }

  /** Decides on one request. Beyond the limit, its caller is told to return after those refused before. */
  decide (amount: number, nowMs: number): UsageDecision {
    this.#askedAtMs = nowMs
    if (this.canCover(amount)) {
      this.#level -= amount
      return { type: 'admitted' }
    }
    this.recordRefused(amount, nowMs)
    return { type: 'refused', waitMs: Math.max(RETURN_DELAY.minMs, Math.round(this.#promisedAtMs - nowMs)) }
  }

  /** Records the units of refused requests: those refused later are told to return after them. */
  recordRefused (amount: number, nowMs: number): void {
    if (amount === 0) return
    const clearedAtMs = nowMs + Math.max(0, -this.#level) / this.#rule.ratePerS * MS_PER_SECOND
    this.#promisedAtMs = Math.min(nowMs + RETURN_DELAY.maxMs, Math.max(this.#promisedAtMs, clearedAtMs) + amount / this.#rule.ratePerS * MS_PER_SECOND)
  }

  /** Takes units, to hand them over to another accountant: all, or half while VMs ask here, as some of them may not reach the other one. */
  takeForOther (nowMs: number): number {
    const taken = Math.max(0, this.#level) * (this.isInUse(nowMs) ? 0.5 : 1)
    this.#level -= taken
    return taken
  }

  #issueShare (share: KnownShare, leftPart: number, nowMs: number): void {
    const lentMs = Math.max(0, Math.min(nowMs, share.lentUntilMs) - share.issuedAtMs)
    this.#level += computeAccrual(this.#rule, 1 / this.#vms.length, lentMs + (nowMs - share.issuedAtMs - lentMs) * leftPart)
    share.issuedAtMs = nowMs
  }

  #getOrCreateShare (vm: VmId, nowMs: number): KnownShare {
    const known = this.#shares.get(vm)
    if (known !== undefined) return known
    const created = { handedOverAtMs: -Infinity, lentUntilMs: -Infinity, issuedAtMs: nowMs }
    this.#shares.set(vm, created)
    return created
  }
}
