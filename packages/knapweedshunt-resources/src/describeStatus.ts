import type { DataCentreStatus, Resource, ResourceStatus, Revision, StatusCondition, VmListEntry, VmView } from 'knapweedshunt-types'

/** Observations of the VMs from which a status is described. */
export interface StatusInputs {
  /** VMs known from gossip, each with the lowest revision that it is certain to apply. */
  vms: VmView[]
  /** The platform's list of VMs; null when the platform did not answer. */
  listed: VmListEntry[] | null
}

/** Describes which VMs apply the current revision of a resource. `InForce` is `true` only when every VM that the platform lists or gossip reports applies the revision, and `unknown` while the state of some VM cannot be determined. */
export function describeStatus (resource: Resource, inputs: StatusInputs): ResourceStatus {
  const dataCentres = listDataCentres(resource.revision, inputs)
  return {
    kind: resource.kind,
    name: resource.name,
    revision: resource.revision,
    conditions: [
      { type: 'Accepted', status: 'true', reason: 'Accepted', message: `Accepted as revision ${resource.revision}.` },
      describeInForce(dataCentres, inputs)
    ],
    dataCentres
  }
}

/** Describes whether a revision is in force on every VM, and if not, why. */
export function describeRevision (revision: Revision, inputs: StatusInputs): StatusCondition {
  return describeInForce(listDataCentres(revision, inputs), inputs)
}

function describeInForce (dataCentres: DataCentreStatus[], inputs: StatusInputs): StatusCondition {
  const type = 'InForce'
  const unreachedDataCentres = dataCentres.filter(entry => !entry.reached).map(entry => entry.dataCentre)
  const waitingDataCentres = dataCentres.filter(entry => entry.waitingFor.length > 0)
  const notHeardVms = dataCentres.flatMap(entry => entry.notHeard ?? [])
  if (unreachedDataCentres.length > 0) return { type, status: 'unknown', reason: 'DataCentreNotReached', message: `Not reached: ${unreachedDataCentres.join(', ')}.` }
  if (waitingDataCentres.length > 0) return { type, status: 'false', reason: 'Waiting', message: `Waiting for ${waitingDataCentres.map(entry => `${entry.dataCentre} (${entry.waitingFor.join(', ')})`).join(', ')}.` }
  if (notHeardVms.length > 0) return { type, status: 'unknown', reason: 'VmNotHeard', message: `Not heard: ${notHeardVms.join(', ')}.` }
  if (inputs.listed === null) return { type, status: 'unknown', reason: 'PlatformNotReached', message: 'The platform did not answer: there may be VMs that nobody has heard of.' }
  if (dataCentres.length === 0) return { type, status: 'false', reason: 'Waiting', message: 'Waiting for any VM.' }
  return { type, status: 'true', reason: 'AllApplied', message: 'Every VM applies it.' }
}

function listDataCentres (revision: Revision, { vms, listed }: StatusInputs): DataCentreStatus[] {
  const listedLiveVms = new Set((listed ?? []).filter(entry => entry.state === 'live').map(entry => entry.vm))
  const viewsByVm = new Map(vms.map(view => [view.vm, view]))
  const dataCentreIds = new Set([...vms.filter(isPresent).map(view => view.dataCentre), ...(listed ?? []).filter(entry => entry.state === 'live').map(entry => entry.dataCentre)])
  return [...dataCentreIds].sort().map(dataCentre => {
    const presentViews = vms.filter(view => view.dataCentre === dataCentre && isPresent(view))
    const waitingFor = presentViews.filter(view => view.appliedRevision < revision && view.state === 'live').map(view => view.vm)
    const suspectVms = presentViews.filter(view => view.state === 'suspect').map(view => view.vm)
    const missingVms = (listed ?? []).filter(entry => entry.dataCentre === dataCentre && listedLiveVms.has(entry.vm) && !isKnownPresent(viewsByVm.get(entry.vm))).map(entry => entry.vm)
    const liveVms = presentViews.filter(view => view.state === 'live').length
    return { dataCentre, liveVms, appliedVms: liveVms - waitingFor.length, reached: liveVms > 0, waitingFor, notHeard: [...suspectVms, ...missingVms] }
  })
}

function isPresent (view: VmView): boolean {
  return view.state === 'live' || view.state === 'suspect'
}

/** A leaving or dead VM that the platform still lists as live may have restarted with a new incarnation that gossip has not reported yet, so it does not count as present. */
function isKnownPresent (view: VmView | undefined): boolean {
  return view !== undefined && isPresent(view)
}
