import { rankVms } from 'knapweedshunt-membership'
import type { DataCentreDirectory, VmMembership } from 'knapweedshunt-membership'
import type { VmListEntry, VmView } from 'knapweedshunt-types'
import type { Rng } from 'knapweedshunt-utils'
import type { NodeOptions } from './nodeOptions.ts'

/** Share of the exchanges that go to a VM that is not live or not yet known, so that VMs find each other again after a partition. */
const NOT_LIVE_PEER_SHARE = 0.15

/** Selects the peers with which this VM exchanges state. Performs no I/O. */
export class GossipPeerSelector {
  readonly #options: NodeOptions
  readonly #rng: Rng
  readonly #seedUrls: string[]

  constructor (options: NodeOptions, rng: Rng, seedUrls: string[]) {
    this.#options = options
    this.#rng = rng
    this.#seedUrls = seedUrls
  }

  /** Chooses the control URL of a random VM of this data centre; null when none is known. */
  chooseLocalPeer (vms: VmMembership, platformVms: VmListEntry[]): string | null {
    const others = vms.listVms().slice(1)
    const live = others.filter(view => view.state === 'live').map(view => view.controlUrl)
    const notLive = [...this.#listUnknown(vms, others, platformVms), ...others.filter(view => view.state !== 'live').map(view => view.controlUrl)]
    const isNotLiveTurn = this.#rng.drawFloat() < NOT_LIVE_PEER_SHARE || live.length === 0
    if (isNotLiveTurn && notLive.length > 0) return this.#pickRandom(notLive)
    if (live.length > 0) return this.#pickRandom(live)
    return this.#seedUrls.length === 0 ? null : this.#pickRandom(this.#seedUrls)
  }

  /** Lists the control URLs of the VMs of this data centre that may be running: the known ones that are not dead, those that the platform lists, and the seed URLs. */
  listLocalPeers (vms: VmMembership, platformVms: VmListEntry[]): string[] {
    const others = vms.listVms().slice(1).filter(view => view.state !== 'dead')
    const urls = new Set([...others.map(view => view.controlUrl), ...this.#listUnknown(vms, others, platformVms), ...this.#seedUrls])
    urls.delete(vms.self.view.controlUrl)
    return [...urls]
  }

  /** Whether this VM exchanges with other data centres: it ranks among the first `gatewayCount` live VMs of its own. */
  isGateway (vms: VmMembership): boolean {
    return rankVms('gateway', vms.listLive()).indexOf(vms.self.view.vm) < this.#options.gatewayCount
  }

  /** Chooses the control URL of a random VM in a random other data centre; null when none is known. */
  chooseRemotePeer (vms: VmMembership, dataCentres: DataCentreDirectory, platformVms: VmListEntry[]): string | null {
    const { dataCentre } = vms.self.view
    const urlsByDataCentre = new Map<string, string[]>()
    for (const entry of platformVms) if (entry.dataCentre !== dataCentre) addUrl(urlsByDataCentre, entry.dataCentre, entry.controlUrl)
    for (const view of dataCentres.listOthers()) {
      const live = view.roster.filter(vm => vm.state === 'live').map(vm => vm.controlUrl)
      if (live.length > 0 && view.reached) urlsByDataCentre.set(view.dataCentre, live)
      else for (const url of live) addUrl(urlsByDataCentre, view.dataCentre, url)
    }
    if (urlsByDataCentre.size > 0) return this.#pickRandom(this.#pickRandom([...urlsByDataCentre.values()]))
    return this.#seedUrls.length === 0 ? null : this.#pickRandom(this.#seedUrls)
  }

  #listUnknown (vms: VmMembership, others: VmView[], platformVms: VmListEntry[]): string[] {
    const { vm, dataCentre } = vms.self.view
    const knownNames = new Set(others.map(view => view.vm))
    return platformVms.filter(entry => entry.dataCentre === dataCentre && entry.vm !== vm && !knownNames.has(entry.vm)).map(entry => entry.controlUrl)
  }

  #pickRandom<T> (items: T[]): T {
    return items[this.#rng.drawInt(items.length)]
  }
}

function addUrl (urlsByDataCentre: Map<string, string[]>, dataCentre: string, url: string): void {
  urlsByDataCentre.set(dataCentre, [...urlsByDataCentre.get(dataCentre) ?? [], url])
}
