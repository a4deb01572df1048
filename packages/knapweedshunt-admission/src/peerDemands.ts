import type { OrganisationName, VmId } from 'knapweedshunt-types'
import type { Demand } from './admissionTypes.ts'

interface PeerDemand {
  heardAtMs: number
  byOrganisation: Map<OrganisationName, Demand>
}

/** Which of a demand's figures is split. */
export type DemandFigure = 'requestsPerSecond' | 'concurrent'

/** Demand of one heard VM. */
export interface VmDemand {
  vm: VmId
  demand: number
}

/** Part of a limit that one VM may use. */
interface VmPart {
  vm: VmId
  part: number
}

/** Share of a contended limit that is split alike over all heard VMs. */
const COMMON_SHARE = 0.05

/** Last demand heard of each peer. */
export class PeerDemands {
  readonly #peers = new Map<VmId, PeerDemand>()

  /** Takes what a peer said. */
  note (vm: VmId, demands: Demand[], nowMs: number): void {
    this.#peers.set(vm, { heardAtMs: nowMs, byOrganisation: new Map(demands.map(one => [one.organisation, one])) })
  }

  /** Forgets peers that were not heard for `silentMs`. */
  sweep (nowMs: number, silentMs: number): void {
    for (const [vm, peer] of this.#peers) if (nowMs - peer.heardAtMs > silentMs) this.#peers.delete(vm)
  }

  /** Heard VMs' demands for one organisation, this one first; 0 for those that named none. */
  split (organisation: OrganisationName, figure: DemandFigure, own: VmDemand): VmDemand[] {
    const peers = [...this.#peers].map(([vm, { byOrganisation }]) => ({ vm, demand: byOrganisation.get(organisation)?.[figure] ?? 0 }))
    return [own, ...peers]
  }
}

/** Part of a rate that the first of the heard VMs may use. `vms` counts all VMs; heard ones split their safe shares. */
export function splitRate (limit: number, vms: number, heard: VmDemand[]): number {
  const pot = limit * Math.min(1, heard.length / Math.max(1, vms))
  return weighDemands(pot, heard)[0].part
}

/** Places that the first of the heard VMs may use, by largest remainder: the heard VMs' places add up to their safe shares, and to one at least so that a VM that hears nobody serves still. */
export function splitPlaces (limit: number, vms: number, heard: VmDemand[]): number {
  const pot = Math.max(1, Math.floor(limit * Math.min(1, heard.length / Math.max(1, vms))))
  const parts = weighDemands(pot, heard)
  const left = pot - parts.reduce((sum, one) => sum + Math.floor(one.part), 0)
  const ranked = parts.toSorted((a, b) => (b.part % 1) - (a.part % 1) || (a.vm < b.vm ? -1 : 1))
  const hasRemainder = ranked.slice(0, left).some(one => one.vm === parts[0].vm)
  return Math.floor(parts[0].part) + (hasRemainder ? 1 : 0)
}

/** Splits the pot by demand. What demand leaves over, and a small share in any case, goes to all alike, so that a VM whose demand just begins is not refused. */
function weighDemands (pot: number, heard: VmDemand[]): VmPart[] {
  const total = heard.reduce((sum, one) => sum + one.demand, 0)
  const common = Math.max(pot - total, COMMON_SHARE * total) / heard.length
  return heard.map(({ vm, demand }) => ({ vm, part: pot * (demand + common) / (total + common * heard.length) }))
}
