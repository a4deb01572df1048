import { describeStatus } from 'knapweedshunt-resources'
import type { Resource, ResourceStatus } from 'knapweedshunt-types'
import type { AdminContext } from './adminContext.ts'
import { isVisible } from './isVisible.ts'
import type { OperatorRole } from './operatorKey.ts'
import { readProgress } from './readProgress.ts'
import { readStatusSources } from './readStatusSources.ts'

/** A resource with its status. */
export interface ResourceWithStatus {
  resource: Resource
  status: ResourceStatus
}

/** Kind and name to match exactly; null matches all. */
export interface ResourceFilter {
  kind: string | null
  name: string | null
}

/** Lists the resources that the role may read, with their status. While the platform does not answer, they come from the replica of the local control, and `InForce` is then never `true`. */
export async function listResourcesWithStatus (context: AdminContext, role: OperatorRole, filter: ResourceFilter): Promise<ResourceWithStatus[]> {
  const { inputs, controlSnapshot, endpoints } = await readStatusSources(context)
  const snapshot = inputs.listed === null ? controlSnapshot : await context.store.readSnapshot()
  const matching = snapshot.resources
    .filter(resource => filter.kind === null || resource.kind === filter.kind)
    .filter(resource => filter.name === null || resource.name === filter.name)
    .filter(resource => isVisible(role, resource))
  return await Promise.all(matching.map(async resource => {
    const status = describeStatus(resource, inputs)
    const progress = await readProgress(context, resource, snapshot.resources, endpoints)
    return { resource, status: progress === null ? status : { ...status, conditions: [...status.conditions, progress] } }
  }))
}
