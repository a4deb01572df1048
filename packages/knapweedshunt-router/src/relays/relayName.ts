import type { EndpointName, VmId } from 'knapweedshunt-types'

const PREFIX = 'vm:'

/** Formats what stands for the endpoint of an attempt through another router. */
export function formatRelayName (vm: VmId): EndpointName {
  return PREFIX + vm
}

/** Lists the VMs among the names of tried endpoints. */
export function listRelayVms (tried: EndpointName[]): VmId[] {
  return tried.filter(name => name.startsWith(PREFIX)).map(name => name.slice(PREFIX.length))
}
