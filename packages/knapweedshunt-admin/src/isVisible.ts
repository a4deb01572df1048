import type { Resource } from 'knapweedshunt-types'
import type { OperatorRole } from './operatorKey.ts'

/** Tells whether a role may read a resource. An organisation sees its own resources and all routes and priority classes. */
export function isVisible (role: OperatorRole, resource: Resource): boolean {
  if (role.type !== 'organisation') return true
  if (resource.kind === 'Organisation') return resource.name === role.organisation
  if (resource.kind === 'AccessKey' || resource.kind === 'Limit') return resource.spec.organisation === role.organisation
  return resource.kind === 'Route' || resource.kind === 'PriorityClass'
}
