import type { Resource } from 'knapweedshunt-types'
import type { OperatorRole } from './operatorKey.ts'

/** Whether a role may see a resource. */
export function isVisible (role: OperatorRole, resource: Resource): boolean {
  if (role.type !== 'organisation') return true
  if (resource.kind === 'Organisation') return resource.name === role.organisation
  if (resource.kind === 'AccessKey' || resource.kind === 'Limit') return resource.spec.organisation === role.organisation
  return resource.kind === 'Route' || resource.kind === 'PriorityClass'
}
