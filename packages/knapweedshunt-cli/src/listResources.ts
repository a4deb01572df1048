import type { Resource, ResourceStatus } from 'knapweedshunt-types'
import { callAdmin } from './adminClient.ts'
import type { AdminAddress } from './adminClient.ts'

/** A resource with its status, as returned by admin. */
export interface ResourceItem {
  resource: Resource
  status: ResourceStatus
}

/** Lists resources from admin; null for `kind` or `name` does not filter by it. */
export async function listResources (address: AdminAddress, kind: string | null, name: string | null): Promise<ResourceItem[]> {
  const query = new URLSearchParams()
  if (kind !== null) query.set('kind', kind)
  if (name !== null) query.set('name', name)
  const answer = await callAdmin(address, 'GET', `/v1/resources?${query.toString()}`)
  return (answer as { items: ResourceItem[] }).items
}

/** Whether a resource is in force on every VM, according to its condition `InForce`. */
export function isInForce (item: ResourceItem): boolean {
  return item.status.conditions.some(condition => condition.type === 'InForce' && condition.status === 'true')
}
