import { describeStatus } from 'knapweedshunt-resources'
import type { Resource, ResourceStatus } from 'knapweedshunt-types'
import type { AdminContext } from './adminContext.ts'
import { isVisible } from './isVisible.ts'
import type { OperatorRole } from './operatorKey.ts'
import { readProgress } from './readProgress.ts'
import { readEvidence } from './readEvidence.ts'

/** A resource with its status. */
export interface ResourceWithStatus {
  resource: Resource
  status: ResourceStatus
}

/** Which resources are wanted; null for all. */
export interface ListFilter {
  kind: string | null
  name: string | null
}

/** Lists the resources that the role may see, with status. While the platform does not answer they come from the local control, whose `InForce` is then never true. */
export async function listStatus (context: AdminContext, role: OperatorRole, filter: ListFilter): Promise<ResourceWithStatus[]> {
  const { evidence, held, endpoints } = await readEvidence(context)
  const snapshot = evidence.listed === null ? held : await context.store.readSnapshot()
  const wanted = snapshot.resources
    .filter(resource => filter.kind === null || resource.kind === filter.kind)
    .filter(resource => filter.name === null || resource.name === filter.name)
    .filter(resource => isVisible(role, resource))
  return await Promise.all(wanted.map(async resource => {
    const status = describeStatus(resource, evidence)
    const progress = await readProgress(context, resource, snapshot.resources, endpoints)
    return { resource, status: progress === null ? status : { ...status, conditions: [...status.conditions, progress] } }
  }))
}
