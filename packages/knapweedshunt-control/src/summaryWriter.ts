import type { DataCentreDirectory, EndpointMembership, VmMembership } from 'knapweedshunt-membership'
import type { Revision } from 'knapweedshunt-types'

/** Updates the summary of the own data centre when it is due. Performs no I/O. */
export class SummaryWriter {
  readonly #intervalMs: number
  #floor: Revision = 0

  constructor (intervalMs: number) {
    this.#intervalMs = intervalMs
  }

  /** Updates the summary when the last one, from any VM, is older than the interval, and at once when the floor (the lowest revision applied by all live VMs) has changed. */
  writeIfDue (vms: VmMembership, endpoints: EndpointMembership, dataCentres: DataCentreDirectory): void {
    const views = vms.listVms()
    const floor = views.reduce((least, view) => view.state === 'live' ? Math.min(least, view.appliedRevision) : least, Infinity)
    if (dataCentres.ownAgeMs < this.#intervalMs && floor === this.#floor) return
    this.#floor = floor
    dataCentres.updateOwn(views, endpoints.listOutOfService(vms.self, vms.listReporters()))
  }
}
