import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { StatusInputs } from 'knapweedshunt-resources'
import type { EndpointView, ResourceSnapshot, RouterSnapshot, VmListEntry } from 'knapweedshunt-types'
import type { AdminContext } from './adminContext.ts'

/** Data from which the status of resources is described. */
export interface StatusSources {
  inputs: StatusInputs
  /** Replica of the resources in the local control. */
  controlSnapshot: ResourceSnapshot
  /** Endpoints of the local data centre, as last seen by the local control. */
  endpoints: EndpointView[]
}

/** Reads the platform's VM list and then the VMs, resources and endpoints that the local control knows. */
export async function readStatusSources (context: AdminContext): Promise<StatusSources> {
  const listedVms = await readListedVms(context)
  const { vms, resources, endpoints } = await context.control.call('control.status', {}) as RouterSnapshot
  return { inputs: { vms, listed: listedVms }, controlSnapshot: resources, endpoints }
}

async function readListedVms (context: AdminContext): Promise<VmListEntry[] | null> {
  try {
    return await context.platform.listVms()
  } catch (error) {
    if (error instanceof PlatformUnreachableError) return null
    throw error
  }
}
