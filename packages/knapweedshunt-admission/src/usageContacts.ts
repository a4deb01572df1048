import type { VmId } from 'knapweedshunt-types'
import { computeLoanMs } from './usageIntervals.ts'
import { SHARE_CONTACT_MS, UNCONNECTED_PART } from './usageShare.ts'

/** Time for which a VM counts as heard, in milliseconds. */
export const HEARD_MS = 4_000

/** Time without an answer after which most of a VM's share may be issued by the accountant, in milliseconds. By then the VM has noticed, even if another accountant had still counted most VMs as heard. */
const SILENT_MS = HEARD_MS + SHARE_CONTACT_MS + 1_000

/** Time for which a call without an answer counts, in milliseconds. */
const FAILURE_MS = 10_000

interface Contact {
  /** Last word of the VM; null before the first. */
  heardAtMs: number | null
  /** First failed call of the same kind since; null without one. */
  failedSinceMs: number | null
  failedAtMs: number
  /** Whether nothing listened at the address of the VM at the last call. */
  hasEnded: boolean
}

/** Which VMs the accountant hears, and which shares nobody else issues. */
export class UsageContacts {
  readonly #self: VmId
  readonly #contacts = new Map<VmId, Contact>()
  #vms: readonly VmId[]

  constructor (self: VmId) {
    this.#self = self
    this.#vms = [self]
  }

  /** The VMs that may be running, including this one. */
  get vms (): readonly VmId[] {
    return this.#vms
  }

  /** Replaces the VMs that may be running. */
  setVms (vms: readonly VmId[]): void {
    if (vms === this.#vms) return
    this.#vms = vms
    const present = new Set(vms)
    for (const vm of this.#contacts.keys()) if (!present.has(vm)) this.#contacts.delete(vm)
  }

  /** Records a message or an answer of a VM. */
  recordHeard (vm: VmId, nowMs: number): void {
    this.#contacts.set(vm, { heardAtMs: nowMs, failedSinceMs: null, failedAtMs: -Infinity, hasEnded: false })
  }

  /** Records a failed call; `hasEnded` if nothing listened at the address of the VM. */
  recordFailed (vm: VmId, hasEnded: boolean, nowMs: number): void {
    const known = this.#contacts.get(vm)
    this.#contacts.set(vm, { heardAtMs: known?.heardAtMs ?? null, failedSinceMs: known?.hasEnded === hasEnded ? known.failedSinceMs ?? nowMs : nowMs, failedAtMs: nowMs, hasEnded })
  }

  /** Whether the last call to a VM failed. */
  isFailing (vm: VmId): boolean {
    return (this.#contacts.get(vm)?.failedSinceMs ?? null) !== null
  }

  /** Whether a VM has ended, as far as is known; it is called again in each collection. */
  hasEnded (vm: VmId, nowMs: number): boolean {
    const contact = this.#contacts.get(vm)
    return contact !== undefined && contact.hasEnded && nowMs - contact.failedAtMs <= computeLoanMs(this.#vms.length)
  }

  /** Whether more than half of the VMs that have not ended were heard lately. */
  hasMajority (nowMs: number): boolean {
    const running = this.#vms.filter(vm => !this.hasEnded(vm, nowMs))
    return 2 * running.filter(vm => this.#isHeard(vm, nowMs)).length > running.length
  }

  /** Computes which part of its share each VM leaves to the accountant, as it has ended or is silent; VMs that leave none are left out. */
  computeLeftParts (nowMs: number): Map<VmId, number> {
    const parts = new Map<VmId, number>()
    if (![...this.#contacts.values()].some(({ failedSinceMs }) => failedSinceMs !== null)) return parts
    // Of two parts that do not reach each other, only one may issue them.
    if (!this.hasMajority(nowMs)) return parts
    for (const vm of this.#vms) {
      if (this.hasEnded(vm, nowMs)) parts.set(vm, 1)
      else if (this.#isSilent(vm, nowMs)) parts.set(vm, 1 - UNCONNECTED_PART)
    }
    return parts
  }

  #isHeard (vm: VmId, nowMs: number): boolean {
    if (vm === this.#self) return true
    const heardAtMs = this.#contacts.get(vm)?.heardAtMs ?? null
    return heardAtMs !== null && nowMs - heardAtMs <= HEARD_MS && !this.isFailing(vm)
  }

  #isSilent (vm: VmId, nowMs: number): boolean {
    const contact = this.#contacts.get(vm)
    if (contact === undefined || contact.failedSinceMs === null || contact.hasEnded || nowMs - contact.failedAtMs > FAILURE_MS) return false
    return nowMs - contact.failedSinceMs > SILENT_MS
  }
}
