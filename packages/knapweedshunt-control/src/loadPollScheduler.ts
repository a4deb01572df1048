import { hashToUint32 } from 'knapweedshunt-membership'
import type { EndpointMembership, VmMembership } from 'knapweedshunt-membership'
import type { DataCentreId, EndpointName, ResourceSnapshot } from 'knapweedshunt-types'

/** Load poll of one endpoint that is due. */
export interface LoadPoll {
  endpoint: EndpointName
  url: string
}

/** Schedules the load polls of the endpoints that are assigned to this VM, spread over the ticks by a hash of their names. Performs no I/O. */
export class LoadPollScheduler {
  readonly #endpoints: EndpointMembership
  readonly #pollTicks: number
  readonly #urls = new Map<EndpointName, string>()
  #joinedNames = ''

  constructor (endpoints: EndpointMembership, pollTicks: number) {
    this.#endpoints = endpoints
    this.#pollTicks = pollTicks
  }

  /** Applies a new revision of the resources: updates the URLs, and the endpoint set if names were added or removed. */
  applyResources (snapshot: ResourceSnapshot, dataCentre: DataCentreId): void {
    this.#urls.clear()
    for (const resource of snapshot.resources) {
      if (resource.kind === 'Endpoint' && resource.spec.dataCentre === dataCentre) this.#urls.set(resource.name, resource.spec.url)
    }
    const names = [...this.#urls.keys()].sort()
    if (names.join() === this.#joinedNames) return
    this.#joinedNames = names.join()
    this.#endpoints.setEndpoints(names)
  }

  /** Lists the polls that are due in this tick. */
  listDuePolls (vms: VmMembership, tickCount: number): LoadPoll[] {
    const assigned = this.#endpoints.listAssigned(vms.self, vms.listLive(), vms.listReporters())
    const due = assigned.filter(endpoint => hashToUint32(endpoint) % this.#pollTicks === tickCount % this.#pollTicks)
    return due.map(endpoint => ({ endpoint, url: this.#urls.get(endpoint) ?? '' }))
  }
}
