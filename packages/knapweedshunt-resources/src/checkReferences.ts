import type { Resource, ResourceKind } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { ResourceInvalidError } from './resourceErrors.ts'

/** Reference from a field of one resource to another resource. */
interface Reference {
  kind: ResourceKind
  name: string
  field: string
}

/** Checks that every referenced resource exists. Throws ResourceInvalidError. */
export function checkReferences (resources: Resource[]): void {
  const existing = new Set(resources.map(resource => `${resource.kind}/${resource.name}`))
  for (const resource of resources) {
    for (const reference of listReferences(resource)) {
      if (existing.has(`${reference.kind}/${reference.name}`)) continue
      throw new ResourceInvalidError(`${resource.kind} ${resource.name}: ${reference.field} is "${reference.name}", but there is no ${reference.kind} of that name: apply it in the same change, or remove the reference.`)
    }
  }
}

function listReferences (resource: Resource): Reference[] {
  return match(resource)
    .with({ kind: 'AccessKey' }, { kind: 'Limit' }, ({ spec }) => [buildOrganisationReference(spec.organisation)])
    .with({ kind: 'Endpoint' }, { kind: 'WeightsRollout' }, ({ spec }) => [buildPoolReference(spec.pool)])
    .with({ kind: 'Route' }, ({ spec }) => [buildPoolReference(spec.pool), { kind: 'PriorityClass' as const, name: spec.priorityClass, field: 'spec.priorityClass' }])
    .with({ kind: 'Organisation' }, { kind: 'EndpointPool' }, { kind: 'PriorityClass' }, () => [])
    .exhaustive()
}

function buildOrganisationReference (name: string): Reference {
  return { kind: 'Organisation', name, field: 'spec.organisation' }
}

function buildPoolReference (name: string): Reference {
  return { kind: 'EndpointPool', name, field: 'spec.pool' }
}
