import { computeLoanMs, computeMaxUsageDebt, computeStartUnits, computeUsageCapacity, UsageShare } from 'knapweedshunt-admission'
import type { UsageRule } from 'knapweedshunt-admission'
import type { OrganisationName, VmId } from 'knapweedshunt-types'
import type { GatewayOrganisation, UsageLimit } from '../ports/gatewayConfig.ts'

/** Time for which what another VM told of the number of VMs counts, in milliseconds. */
const TOLD_COUNT_MS = 10_000

/** An organisation with a limit. */
export interface LimitedOrganisation {
  organisation: OrganisationName
  limit: UsageLimit
  share: UsageShare
  /** Units of the requests that were refused without asking and of which the accountant does not know. */
  refusedUnits: number
  /** Time until which requests are refused without asking, and from which on there may be room. */
  refusedUntilMs: number
  roomAtMs: number
  /** Time until which the accountant decides on all requests. */
  isShortUntilMs: number
}

/** The organisations with a limit and this VM's shares, under the configuration and the VMs of this moment. */
export class UsageLedger {
  #organisations = new Map<OrganisationName, LimitedOrganisation>()
  #vms: readonly VmId[] = []
  readonly #startedAtMs = performance.now()
  /** Whether a configuration was applied before. */
  #hasLimits = false
  #told = { count: 0, atMs: -Infinity }

  /** VMs that may be running; empty while they are not known. */
  get vms (): readonly VmId[] {
    return this.#vms
  }

  /** Finds an organisation; undefined if it has no limit. */
  find (organisation: OrganisationName): LimitedOrganisation | undefined {
    return this.#organisations.get(organisation)
  }

  /** Number of VMs, as far as this one or another knows. */
  countVms (nowMs: number): number {
    return Math.max(this.#vms.length, nowMs - this.#told.atMs <= TOLD_COUNT_MS ? this.#told.count : 0)
  }

  /** Applies the limits of a configuration at once, also to what the VM holds. */
  applyLimits (organisations: GatewayOrganisation[], nowMs: number): void {
    const previous = this.#organisations
    this.#organisations = new Map()
    for (const { organisation, usageLimit: limit } of organisations) {
      if (limit === null) continue
      const known = previous.get(organisation)
      known?.share.setTerms(limit, this.#getShareCount(nowMs), nowMs)
      // What a VM used before it started is not known, but there was no limit to keep before one that is new.
      const start = this.#hasLimits ? { units: computeUsageCapacity(limit), connectedFromMs: nowMs } : { units: computeStartUnits(limit), connectedFromMs: this.#startedAtMs + computeLoanMs(this.#getShareCount(nowMs)) }
      const share = known?.limit.unit === limit.unit ? known.share : new UsageShare(limit, this.#getShareCount(nowMs), nowMs, start)
      this.#organisations.set(organisation, { organisation, limit, share, refusedUnits: 0, refusedUntilMs: -Infinity, roomAtMs: -Infinity, isShortUntilMs: -Infinity })
    }
    this.#hasLimits = true
  }

  /** Replaces the VMs that may be running. */
  setVms (vms: readonly VmId[], nowMs: number): void {
    if (vms === this.#vms) return
    this.#vms = vms
    this.#updateShares(nowMs)
  }

  /** Takes what this VM holds of an organisation's limit, to hand it over, and what it has refused by itself. Nothing is handed over to an accountant that may not answer. */
  takeAll (organisation: OrganisationName, nowMs: number): { handedOver: number, refused: number } {
    const limited = this.#organisations.get(organisation)
    if (limited === undefined) return { handedOver: 0, refused: 0 }
    const refused = limited.refusedUnits
    limited.refusedUnits = 0
    return { handedOver: limited.share.isConnected(nowMs) ? limited.share.takeAll(nowMs) : 0, refused }
  }

  /** Records a contact with an accountant that hears most VMs. */
  recordContact (organisation: OrganisationName, nowMs: number): void {
    if (this.#isKnownToOthers(nowMs)) this.#organisations.get(organisation)?.share.recordContact(nowMs)
  }

  /** Hands a share over to the accountant that collects it; if `isLent`, also what accrues for a while. */
  lend (organisation: OrganisationName, isLent: boolean, nowMs: number): { units: number, lentMs: number } {
    const share = this.#organisations.get(organisation)?.share
    if (share === undefined) return { units: 0, lentMs: 0 }
    if (isLent) this.recordContact(organisation, nowMs)
    return { units: share.takeAll(nowMs), lentMs: isLent && this.#isKnownToOthers(nowMs) ? share.lend(computeLoanMs(this.countVms(nowMs)), nowMs) : 0 }
  }

  /** Records the number of VMs that another VM knows. */
  recordTold (count: number, nowMs: number): void {
    const before = this.countVms(nowMs)
    this.#told = { count, atMs: nowMs }
    if (this.countVms(nowMs) !== before) this.#updateShares(nowMs)
  }

  /** After a start, another VM may for a while issue the share of this one, which had ended. */
  #isKnownToOthers (nowMs: number): boolean {
    return nowMs - this.#startedAtMs > computeLoanMs(this.countVms(nowMs))
  }

  #updateShares (nowMs: number): void {
    for (const { share, limit } of this.#organisations.values()) share.setTerms(limit, this.#getShareCount(nowMs), nowMs)
  }

  /** Nothing accrues while the VMs are not known. */
  #getShareCount (nowMs: number): number {
    return this.#vms.length === 0 ? Infinity : this.countVms(nowMs)
  }
}

/** Whether a request can ever be admitted under a limit. */
export function canEverAdmit (rule: UsageRule, amount: number): boolean {
  return amount <= computeUsageCapacity(rule) + computeMaxUsageDebt(rule)
}
