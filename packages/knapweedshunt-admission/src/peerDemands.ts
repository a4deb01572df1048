import type { OrganisationName, VmId } from 'knapweedshunt-types'
import type { Demand } from './admissionTypes.ts'

interface PeerDemand {
  receivedAtMs: number
  byOrganisation: Map<OrganisationName, Demand>
}

/** The figure of a demand by which a limit is split. */
export type DemandFigure = 'requestsPerSecond' | 'concurrent'

/** Demand of one reporting VM: this one, or a peer whose demands have not expired. */
export interface VmDemand {
  vm: VmId
  demand: number
}

/** Amount of a limit that one VM may use. */
export interface VmAllocation {
  vm: VmId
  amount: number
}

/** Fraction of the total demand that, at least, is added in equal amounts to the demands of all reporting VMs when a limit is split. */
const EQUAL_SPLIT_SHARE = 0.05

/** Last demands received from each peer. */
export class PeerDemands {
  readonly #peers = new Map<VmId, PeerDemand>()

  /** Replaces the demands of a peer. */
  set (vm: VmId, demands: Demand[], nowMs: number): void {
    this.#peers.set(vm, { receivedAtMs: nowMs, byOrganisation: new Map(demands.map(one => [one.organisation, one])) })
  }

  /** Removes peers whose last demands are older than `peerTimeoutMs`. */
  removeSilent (nowMs: number, peerTimeoutMs: number): void {
    for (const [vm, peer] of this.#peers) if (nowMs - peer.receivedAtMs > peerTimeoutMs) this.#peers.delete(vm)
  }

  /** Demands of all reporting VMs for one organisation, this VM first; 0 for peers that sent none. */
  listVmDemands (organisation: OrganisationName, figure: DemandFigure, own: VmDemand): VmDemand[] {
    const peers = [...this.#peers].map(([vm, { byOrganisation }]) => ({ vm, demand: byOrganisation.get(organisation)?.[figure] ?? 0 }))
    return [own, ...peers]
  }
}

/** Part of a rate limit that the first of the reporting VMs may use. `vmCount` counts all VMs; the reporting ones divide the sum of their equal shares. */
export function splitRate (limit: number, vmCount: number, reporting: VmDemand[]): number {
  const available = limit * Math.min(1, reporting.length / Math.max(1, vmCount))
  return splitByDemand(available, reporting)[0].amount
}

/** Concurrency slots that the first of the reporting VMs may use, by the largest remainder method. The slots of all reporting VMs add up to the sum of their equal shares, and to at least one, so that a VM that receives no demands can still serve. */
export function splitSlots (limit: number, vmCount: number, reporting: VmDemand[]): number {
  const available = Math.max(1, Math.floor(limit * Math.min(1, reporting.length / Math.max(1, vmCount))))
  const allocations = splitByDemand(available, reporting)
  const leftover = available - allocations.reduce((sum, one) => sum + Math.floor(one.amount), 0)
  const byRemainder = allocations.toSorted((a, b) => (b.amount % 1) - (a.amount % 1) || (a.vm < b.vm ? -1 : 1))
  const hasRemainder = byRemainder.slice(0, leftover).some(one => one.vm === allocations[0].vm)
  return Math.floor(allocations[0].amount) + (hasRemainder ? 1 : 0)
}

/** Splits the available amount by demand, in the order given. What exceeds the demand, and a small part in any case, is divided equally, so that a VM whose demand has just begun is not refused. */
export function splitByDemand (available: number, reporting: VmDemand[]): VmAllocation[] {
  const total = reporting.reduce((sum, one) => sum + one.demand, 0)
  const equalAmount = Math.max(available - total, EQUAL_SPLIT_SHARE * total) / reporting.length
  return reporting.map(({ vm, demand }) => ({ vm, amount: available * (demand + equalAmount) / (total + equalAmount * reporting.length) }))
}
