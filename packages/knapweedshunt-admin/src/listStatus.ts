import { describeStatus } from 'knapweedshunt-resources'
import type { Resource, ResourceStatus, RouterSnapshot } from 'knapweedshunt-types'
import type { AdminContext } from './adminContext.ts'
import type { OperatorRole } from './operatorKey.ts'

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

/** Lists the resources that the role may see, with status. */
export async function listStatus (context: AdminContext, role: OperatorRole, filter: ListFilter): Promise<ResourceWithStatus[]> {
  const snapshot = await context.store.readSnapshot()
  const view = await context.control.call('control.status', {}) as RouterSnapshot
  return snapshot.resources
    .filter(resource => filter.kind === null || resource.kind === filter.kind)
    .filter(resource => filter.name === null || resource.name === filter.name)
    .filter(resource => isVisible(role, resource))
    .map(resource => ({ resource, status: describeStatus(resource, view.vms) }))
}

function isVisible (role: OperatorRole, resource: Resource): boolean {
  if (role.type !== 'organisation') return true
  if (resource.kind === 'Organisation') return resource.name === role.organisation
  if (resource.kind === 'AccessKey' || resource.kind === 'Limit') return resource.spec.organisation === role.organisation
  return resource.kind === 'Route' || resource.kind === 'PriorityClass'
}
