import { hashToUint32 } from 'knapweedshunt-membership'
import type { EndpointMembership, VmMembership } from 'knapweedshunt-membership'
import type { DataCentreId, EndpointName, ResourceSnapshot } from 'knapweedshunt-types'

/** A load report to ask for. */
export interface LoadLook {
  endpoint: EndpointName
  url: string
}

/** Which endpoints this VM asks for their load and when. Opens nothing. */
export class LoadPlan {
  readonly #endpoints: EndpointMembership
  readonly #loadTicks: number
  readonly #urls = new Map<EndpointName, string>()
  #names = ''

  constructor (endpoints: EndpointMembership, loadTicks: number) {
    this.#endpoints = endpoints
    this.#loadTicks = loadTicks
  }

  /** Takes a new revision of the resources. */
  takeResources (snapshot: ResourceSnapshot, dataCentre: DataCentreId): void {
    this.#urls.clear()
    for (const resource of snapshot.resources) {
      if (resource.kind === 'Endpoint' && resource.spec.dataCentre === dataCentre) this.#urls.set(resource.name, resource.spec.url)
    }
    const names = [...this.#urls.keys()].sort()
    if (names.join() === this.#names) return
    this.#names = names.join()
    this.#endpoints.setEndpoints(names)
  }

  /** Endpoints to ask in this tick. */
  listDue (vms: VmMembership, ticks: number): LoadLook[] {
    const assigned = this.#endpoints.listAssigned(vms.self, vms.listLive())
    const due = assigned.filter(endpoint => hashToUint32(endpoint) % this.#loadTicks === ticks % this.#loadTicks)
    return due.map(endpoint => ({ endpoint, url: this.#urls.get(endpoint) ?? '' }))
  }
}
