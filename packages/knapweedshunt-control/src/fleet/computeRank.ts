import type { VmView } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'

/** Computes the rank of a VM, from 0, among the live VMs of its data centre, ordered by a hash of their names. VMs with the same list compute the same ranks. */
export function computeRank (self: Pick<VmView, 'vm' | 'dataCentre'>, vms: VmView[]): number {
  const own = hashText(self.dataCentre, self.vm)
  return vms.filter(vm => isOtherLiveVm(self, vm) && hashText(vm.dataCentre, vm.vm) < own).length
}

function isOtherLiveVm (self: Pick<VmView, 'vm' | 'dataCentre'>, vm: VmView): boolean {
  return vm.dataCentre === self.dataCentre && vm.vm !== self.vm && vm.state === 'live'
}
