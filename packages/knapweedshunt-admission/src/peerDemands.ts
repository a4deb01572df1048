import type { OrganisationName, VmId } from 'knapweedshunt-types'
import type { Demand } from './admissionTypes.ts'

interface PeerDemand {
  heardAtMs: number
  byOrganisation: Map<OrganisationName, Demand>
}

/** Which of a demand's figures is split. */
export type DemandFigure = 'requestsPerSecond' | 'concurrent'

/** Share of one VM of a limit: `heard` VMs split what silent ones do not hold. */
export interface DemandSplit {
  /** VMs heard lately, with this one. */
  heard: number
  /** Demand of this VM and each heard peer that named the organisation, by VM. */
  demands: Array<{ vm: VmId, demand: number }>
}

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

  /** Peers' demands for one organisation. */
  split (organisation: OrganisationName, figure: DemandFigure, own: { vm: VmId, demand: number }): DemandSplit {
    const demands = [own]
    for (const [vm, { byOrganisation }] of this.#peers) {
      const demand = byOrganisation.get(organisation)?.[figure] ?? 0
      if (demand > 0) demands.push({ vm, demand })
    }
    return { heard: this.#peers.size + 1, demands }
  }
}

/** Part of a rate that this VM may use: the heard VMs' safe shares, split by demand. `vms` counts all VMs. */
export function splitRate (limit: number, vms: number, split: DemandSplit): number {
  const pot = limit * Math.min(1, split.heard / Math.max(1, vms))
  const total = split.demands.reduce((sum, one) => sum + one.demand, 0)
  return total === 0 ? pot / split.heard : pot * split.demands[0].demand / total
}

/** Places that this VM (the first of the split) may use, by largest remainder: the heard VMs' places add up to their safe shares, and to one at least so that a VM that hears nobody serves still. */
export function splitPlaces (limit: number, vms: number, split: DemandSplit): number {
  const pot = Math.max(1, Math.floor(limit * Math.min(1, split.heard / Math.max(1, vms))))
  const total = split.demands.reduce((sum, one) => sum + one.demand, 0)
  if (total === 0) return Math.max(1, Math.floor(pot / split.heard))
  const own = split.demands[0]
  const exact = split.demands.map(one => ({ vm: one.vm, exact: pot * one.demand / total }))
  const left = pot - exact.reduce((sum, one) => sum + Math.floor(one.exact), 0)
  const ranked = exact.toSorted((a, b) => (b.exact % 1) - (a.exact % 1) || (a.vm < b.vm ? -1 : 1))
  const hasRemainder = ranked.slice(0, left).some(one => one.vm === own.vm)
  return Math.floor(exact[0].exact) + (hasRemainder ? 1 : 0)
}
