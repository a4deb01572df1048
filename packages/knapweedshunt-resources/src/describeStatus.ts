import type { DataCentreStatus, Resource, ResourceStatus, Revision, VmView } from 'knapweedshunt-types'

/** Describes how far the VMs are with a resource. `InForce` is true only when every live or suspect VM applies its revision. */
export function describeStatus (resource: Resource, vms: VmView[]): ResourceStatus {
  const dataCentres = listDataCentres(resource.revision, vms)
  const waiting = dataCentres.filter(one => one.appliedVms < one.liveVms)
  const inForce = dataCentres.length > 0 && waiting.length === 0
  return {
    kind: resource.kind,
    name: resource.name,
    revision: resource.revision,
    conditions: [
      { type: 'Accepted', status: 'true', reason: 'Accepted', message: `Accepted as revision ${resource.revision}.` },
      {
        type: 'InForce',
        status: inForce ? 'true' : 'false',
        reason: inForce ? 'AllApplied' : 'Waiting',
        message: inForce ? 'Every VM applies it.' : `Waiting for ${waiting.map(one => one.dataCentre).join(', ') || 'any VM'}.`
      }
    ],
    dataCentres
  }
}

function listDataCentres (revision: Revision, vms: VmView[]): DataCentreStatus[] {
  const names = [...new Set(vms.map(vm => vm.dataCentre))].sort()
  return names.map(dataCentre => {
    const present = vms.filter(vm => vm.dataCentre === dataCentre && (vm.state === 'live' || vm.state === 'suspect'))
    const waitingFor = present.filter(vm => vm.appliedRevision < revision).map(vm => vm.vm)
    return { dataCentre, liveVms: present.length, appliedVms: present.length - waitingFor.length, reached: present.some(vm => vm.state === 'live'), waitingFor }
  })
}
