import type { DataCentreDirectory, EndpointMembership, VmMembership } from 'knapweedshunt-membership'
import type { EndpointView, Revision } from 'knapweedshunt-types'

/** When the data centre's summary is written. Opens nothing. */
export class SummaryPlan {
  readonly #everyMs: number
  #floor: Revision = 0

  constructor (everyMs: number) {
    this.#everyMs = everyMs
  }

  /** Writes the summary when it is old, whoever wrote it, and at once when the data centre's floor rose. */
  write (vms: VmMembership, endpoints: EndpointMembership, centres: DataCentreDirectory): void {
    const views = vms.listVms()
    const floor = views.reduce((least, view) => view.state === 'live' ? Math.min(least, view.appliedRevision) : least, Infinity)
    if (centres.ownAgeMs < this.#everyMs && floor === this.#floor) return
    this.#floor = floor
    const known = endpoints.listEndpoints(vms.self, vms.listReporters())
    centres.updateOwn(views, known.filter(isOutOfService).map(view => view.endpoint))
  }
}

function isOutOfService (view: EndpointView): boolean {
  return view.state !== 'live' || view.load?.role === 'drain'
}
