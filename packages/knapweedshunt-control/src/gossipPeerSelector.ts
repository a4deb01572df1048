import { rankVms } from 'knapweedshunt-membership'
import type { DataCentreDirectory, VmMembership } from 'knapweedshunt-membership'
import type { VmListEntry, VmView } from 'knapweedshunt-types'
import type { Rng } from 'knapweedshunt-utils'
import type { NodeOptions } from './nodeOptions.ts'

/** Share of the exchanges that try a VM which was not heard lately, so that partitions heal. */
const DOUBTED_SHARE = 0.15

/** Whom this VM exchanges with. Opens nothing. */
export class GossipPlan {
  readonly #options: NodeOptions
  readonly #rng: Rng
  readonly #seeds: string[]

  constructor (options: NodeOptions, rng: Rng, seeds: string[]) {
    this.#options = options
    this.#rng = rng
    this.#seeds = seeds
  }

  /** A VM of the own data centre, null when none is known. */
  choosePeer (vms: VmMembership, listed: VmListEntry[]): string | null {
    const others = vms.listVms().slice(1)
    const live = others.filter(view => view.state === 'live').map(view => view.controlUrl)
    const doubted = [...this.#listUnheard(vms, others, listed), ...others.filter(view => view.state !== 'live').map(view => view.controlUrl)]
    const isDoubtedTurn = this.#rng.float() < DOUBTED_SHARE || live.length === 0
    if (isDoubtedTurn && doubted.length > 0) return this.#draw(doubted)
    if (live.length > 0) return this.#draw(live)
    return this.#seeds.length === 0 ? null : this.#draw(this.#seeds)
  }

  /** All VMs of the own data centre that may be there. */
  listPeers (vms: VmMembership, listed: VmListEntry[]): string[] {
    const others = vms.listVms().slice(1).filter(view => view.state !== 'dead')
    const urls = new Set([...others.map(view => view.controlUrl), ...this.#listUnheard(vms, others, listed), ...this.#seeds])
    urls.delete(vms.self.view.controlUrl)
    return [...urls]
  }

  /** Whether this VM exchanges with other data centres. */
  isGateway (vms: VmMembership): boolean {
    return rankVms('gateway', vms.listLive()).indexOf(vms.self.view.vm) < this.#options.gateways
  }

  /** A VM of another data centre, null when none is known. */
  chooseRemote (vms: VmMembership, centres: DataCentreDirectory, listed: VmListEntry[]): string | null {
    const { dataCentre } = vms.self.view
    const known = new Map<string, string[]>()
    for (const entry of listed) if (entry.dataCentre !== dataCentre) addUrl(known, entry.dataCentre, entry.controlUrl)
    for (const view of centres.listOthers()) {
      const live = view.roster.filter(vm => vm.state === 'live').map(vm => vm.controlUrl)
      if (live.length > 0 && view.reached) known.set(view.dataCentre, live)
      else for (const url of live) addUrl(known, view.dataCentre, url)
    }
    if (known.size > 0) return this.#draw(this.#draw([...known.values()]))
    return this.#seeds.length === 0 ? null : this.#draw(this.#seeds)
  }

  #listUnheard (vms: VmMembership, others: VmView[], listed: VmListEntry[]): string[] {
    const { vm, dataCentre } = vms.self.view
    const heard = new Set(others.map(view => view.vm))
    return listed.filter(entry => entry.dataCentre === dataCentre && entry.vm !== vm && !heard.has(entry.vm)).map(entry => entry.controlUrl)
  }

  #draw<T> (items: T[]): T {
    return items[this.#rng.int(items.length)]
  }
}

function addUrl (known: Map<string, string[]>, dataCentre: string, url: string): void {
  known.set(dataCentre, [...known.get(dataCentre) ?? [], url])
}
