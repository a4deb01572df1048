import type { Resource, ResourceStatus } from 'knapweedshunt-types'
import { callAdmin } from './adminClient.ts'
import type { AdminAddress } from './adminClient.ts'

/** A resource with its status, as admin answers. */
export interface ResourceItem {
  resource: Resource
  status: ResourceStatus
}

/** Lists resources, all or of one kind, or one by name. */
export async function listResources (address: AdminAddress, kind: string | null, name: string | null): Promise<ResourceItem[]> {
  const query = new URLSearchParams()
  if (kind !== null) query.set('kind', kind)
  if (name !== null) query.set('name', name)
  const answer = await callAdmin(address, 'GET', `/v1/resources?${query.toString()}`)
  return (answer as { items: ResourceItem[] }).items
}

/** Whether a resource is in force on every VM. */
export function isInForce (item: ResourceItem): boolean {
  return item.status.conditions.some(condition => condition.type === 'InForce' && condition.status === 'true')
}
