import type { DataCentreStatus, Resource, ResourceStatus, Revision, StatusCondition, VmListEntry, VmView } from 'knapweedshunt-types'

/** What is known of the VMs when a status is described. */
export interface StatusEvidence {
  /** VMs heard of, with the least revision that each surely applies. */
  vms: VmView[]
  /** The platform's list, null when the platform did not answer. */
  listed: VmListEntry[] | null
}

/** Describes how far the VMs are with a resource. `InForce` is true only when every VM that is listed or heard applies the revision, and `unknown` while some VM cannot be asked. */
export function describeStatus (resource: Resource, evidence: StatusEvidence): ResourceStatus {
  const dataCentres = listDataCentres(resource.revision, evidence)
  return {
    kind: resource.kind,
    name: resource.name,
    revision: resource.revision,
    conditions: [
      { type: 'Accepted', status: 'true', reason: 'Accepted', message: `Accepted as revision ${resource.revision}.` },
      describeInForce(dataCentres, evidence)
    ],
    dataCentres
  }
}

/** Whether a revision is in force on every VM, and if not why. */
export function describeRevision (revision: Revision, evidence: StatusEvidence): StatusCondition {
  return describeInForce(listDataCentres(revision, evidence), evidence)
}

function describeInForce (dataCentres: DataCentreStatus[], evidence: StatusEvidence): StatusCondition {
  const type = 'InForce'
  const notReached = dataCentres.filter(one => !one.reached).map(one => one.dataCentre)
  const waiting = dataCentres.filter(one => one.waitingFor.length > 0)
  const unheard = dataCentres.flatMap(one => one.notHeard ?? [])
  if (notReached.length > 0) return { type, status: 'unknown', reason: 'DataCentreNotReached', message: `Not reached: ${notReached.join(', ')}.` }
  if (waiting.length > 0) return { type, status: 'false', reason: 'Waiting', message: `Waiting for ${waiting.map(one => `${one.dataCentre} (${one.waitingFor.join(', ')})`).join(', ')}.` }
  if (unheard.length > 0) return { type, status: 'unknown', reason: 'VmNotHeard', message: `Not heard: ${unheard.join(', ')}.` }
  if (evidence.listed === null) return { type, status: 'unknown', reason: 'PlatformNotReached', message: 'The platform did not answer: there may be VMs that nobody has heard of.' }
  if (dataCentres.length === 0) return { type, status: 'false', reason: 'Waiting', message: 'Waiting for any VM.' }
  return { type, status: 'true', reason: 'AllApplied', message: 'Every VM applies it.' }
}

function listDataCentres (revision: Revision, { vms, listed }: StatusEvidence): DataCentreStatus[] {
  const expected = new Set((listed ?? []).filter(entry => entry.state === 'live').map(entry => entry.vm))
  const heard = new Map(vms.map(view => [view.vm, view]))
  const names = new Set([...vms.filter(isPresent).map(view => view.dataCentre), ...(listed ?? []).filter(entry => entry.state === 'live').map(entry => entry.dataCentre)])
  return [...names].sort().map(dataCentre => {
    const present = vms.filter(view => view.dataCentre === dataCentre && isPresent(view))
    const waitingFor = present.filter(view => view.appliedRevision < revision && view.state === 'live').map(view => view.vm)
    const silent = present.filter(view => view.state === 'suspect').map(view => view.vm)
    const never = (listed ?? []).filter(entry => entry.dataCentre === dataCentre && expected.has(entry.vm) && !isHeard(heard.get(entry.vm))).map(entry => entry.vm)
    const liveVms = present.filter(view => view.state === 'live').length
    return { dataCentre, liveVms, appliedVms: liveVms - waitingFor.length, reached: liveVms > 0, waitingFor, notHeard: [...silent, ...never] }
  })
}

function isPresent (view: VmView): boolean {
  return view.state === 'live' || view.state === 'suspect'
}

/** A leaving or dead VM that is still listed as live may be back under another incarnation that was not heard yet. */
function isHeard (view: VmView | undefined): boolean {
  return view !== undefined && isPresent(view)
}
