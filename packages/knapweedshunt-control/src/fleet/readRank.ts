import type { VmView } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'

/** Place of a VM among the live ones of its data centre, 0 first; the same on every VM that sees the same list. */
export function readRank (self: Pick<VmView, 'vm' | 'dataCentre'>, vms: VmView[]): number {
  const own = hashText(self.dataCentre, self.vm)
  return vms.filter(vm => isRival(self, vm) && hashText(vm.dataCentre, vm.vm) < own).length
}

function isRival (self: Pick<VmView, 'vm' | 'dataCentre'>, vm: VmView): boolean {
  return vm.dataCentre === self.dataCentre && vm.vm !== self.vm && vm.state === 'live'
}
