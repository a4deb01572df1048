import type { OrganisationName } from 'knapweedshunt-types'

/** Number of recent requests over which demand is measured. */
const MEMORY_REQUESTS = 64

/** Weight of the newest request at which all weights are scaled back. */
const MAX_WEIGHT = 1e6

/** Smallest demand that is kept, relative to that of the newest request. */
const MIN_RELATIVE_DEMAND = 1e-3

/** Part of what is admitted that is left to less urgent classes. */
const LESS_URGENT_SHARE = 0.1

interface ClassDemand {
  total: number
  byOrganisation: Map<OrganisationName, number>
}

/** The demand of one organisation in one priority class; 0 is served first. */
export interface DemandKey {
  priority: number
  organisation: OrganisationName
}

/** Recent demand of a pool, by priority class and organisation, and who gets how much of what can be admitted. Demand fades with further requests rather than with time, so that it is known equally well at a VM that gets few. */
export class DemandShares {
  readonly #classes = new Map<number, ClassDemand>()
  #weight = 1

  /** Records a request; `cost` in any unit that is the same for all requests of the pool. */
  record ({ priority, organisation }: DemandKey, cost: number): void {
    this.#weight /= 1 - 1 / MEMORY_REQUESTS
    const demand = this.#classes.get(priority) ?? { total: 0, byOrganisation: new Map() }
    this.#classes.set(priority, demand)
    demand.total += cost * this.#weight
    demand.byOrganisation.set(organisation, (demand.byOrganisation.get(organisation) ?? 0) + cost * this.#weight)
    if (this.#weight > MAX_WEIGHT) this.#scaleBack()
  }

  /** Demand of an organisation in all classes, as a part of that of all organisations. */
  getDemandShare (organisation: OrganisationName): number {
    const total = this.#sumDemand()
    return total === 0 ? 0 : [...this.#classes.values()].reduce((sum, { byOrganisation }) => sum + (byOrganisation.get(organisation) ?? 0), 0) / total
  }

  /**
   * Computes the part of an organisation's demand in a class that is admitted if `steadyShare` of all demand is in the long
   * run, and `presentShare` now. More urgent classes come first, but leave a tenth to the others, who never get a larger
   * part of their demand. Within a class the split is max-min fair: what an organisation does not want is divided among
   * those that want more. What is admitted less at present is taken from the least urgent, and from the organisations that
   * want more than their part.
   */
  computeAdmittedShare ({ priority, organisation }: DemandKey, steadyShare: number, presentShare: number): number {
    const demand = this.#classes.get(priority)
    if (demand === undefined) return 1
    const own = demand.byOrganisation.get(organisation) ?? 0
    const demands = [...demand.byOrganisation.values()].sort((a, b) => a - b)
    const steady = this.#allot(steadyShare)
    const steadyLevel = computeFairLevel(demands, steady.get(priority)!)
    if (own <= steadyLevel || presentShare === steadyShare) return Math.min(1, steadyLevel / own)
    return Math.min(1, computeFairLevel(demands, this.#change(steady, presentShare - steadyShare).get(priority)!) / own)
  }

  /** Divides what is admitted among the classes, the most urgent first. */
  #allot (admittedShare: number): Map<number, number> {
    const total = this.#sumDemand()
    const allotments = new Map<number, number>()
    let below = total
    let remaining = total * admittedShare
    let maxShare = 1
    for (const [priority, demand] of this.#listClasses()) {
      below -= demand.total
      const reserve = Math.min(LESS_URGENT_SHARE, below / (demand.total + below)) * remaining
      const allotted = Math.max(0, Math.min(demand.total * maxShare, remaining - reserve))
      allotments.set(priority, allotted)
      remaining -= allotted
      maxShare = Math.min(maxShare, allotted / demand.total)
    }
    return allotments
  }

  /** Changes allotments by a part of all demand, those of the least urgent first. */
  #change (allotments: Map<number, number>, share: number): Map<number, number> {
    const total = this.#sumDemand()
    const classes = this.#listClasses()
    let change = total * share
    for (const [priority, demand] of classes.toReversed()) {
      const allotted = allotments.get(priority)!
      // Engines begin the most urgent first, so that these do not wait in the queue of the others.
      if (change < 0 && priority === classes[0][0] && demand.total < (1 - LESS_URGENT_SHARE) * total) break
      const changed = Math.max(0, Math.min(demand.total, allotted + change))
      allotments.set(priority, changed)
      change -= changed - allotted
    }
    return allotments
  }

  #listClasses (): Array<[number, ClassDemand]> {
    return [...this.#classes].sort(([a], [b]) => a - b)
  }

  #sumDemand (): number {
    return [...this.#classes.values()].reduce((sum, demand) => sum + demand.total, 0)
  }

  #scaleBack (): void {
    for (const [priority, demand] of this.#classes) {
      demand.total = 0
      for (const [organisation, amount] of demand.byOrganisation) {
        const scaled = amount / this.#weight
        if (scaled < MIN_RELATIVE_DEMAND) demand.byOrganisation.delete(organisation)
        else demand.byOrganisation.set(organisation, scaled)
        if (scaled >= MIN_RELATIVE_DEMAND) demand.total += scaled
      }
      if (demand.byOrganisation.size === 0) this.#classes.delete(priority)
    }
    this.#weight = 1
  }
}

/** Computes the level at which demands, in ascending order, are cut so that they add up to the capacity; infinite if they do anyway. */
function computeFairLevel (demands: number[], capacity: number): number {
  let remaining = capacity
  for (const [n, demand] of demands.entries()) {
    const level = remaining / (demands.length - n)
    if (demand > level) return level
    remaining -= demand
  }
  return Infinity
}
