import { PlatformUnreachableError } from 'knapweedshunt-platform'
import type { StatusEvidence } from 'knapweedshunt-resources'
import type { EndpointView, ResourceSnapshot, RouterSnapshot, VmListEntry } from 'knapweedshunt-types'
import type { AdminContext } from './adminContext.ts'

/** What a status is described from. */
export interface EvidenceRead {
  evidence: StatusEvidence
  /** Resources that the local control holds. */
  held: ResourceSnapshot
  /** Endpoints of the local data centre as the local control knows them. */
  endpoints: EndpointView[]
}

/** Asks the platform for its VM list and then the local control for what it heard of them. */
export async function readEvidence (context: AdminContext): Promise<EvidenceRead> {
  const listed = await readList(context)
  const { vms, resources, endpoints } = await context.control.call('control.status', {}) as RouterSnapshot
  return { evidence: { vms, listed }, held: resources, endpoints }
}

async function readList (context: AdminContext): Promise<VmListEntry[] | null> {
  try {
    return await context.platform.listVms()
  } catch (error) {
    if (error instanceof PlatformUnreachableError) return null
    throw error
  }
}
