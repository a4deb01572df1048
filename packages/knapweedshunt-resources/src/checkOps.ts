import type { Resource, ResourceOperation } from 'knapweedshunt-types'
import { ResourceInvalidError } from './resourceErrors.ts'

/** Checks that a change names each resource at most once and deletes only existing resources. Throws ResourceInvalidError. */
export function checkOps (resources: Resource[], ops: ResourceOperation[]): void {
  const existing = new Set(resources.map(resource => `${resource.kind} ${resource.name}`))
  const seen = new Set<string>()
  for (const op of ops) {
    const name = op.type === 'put' ? `${op.resource.kind} ${op.resource.name}` : `${op.kind} ${op.name}`
    if (seen.has(name)) throw new ResourceInvalidError(`${name} appears twice in the change: name each resource once.`)
    if (op.type === 'delete' && !existing.has(name)) throw new ResourceInvalidError(`${name} cannot be deleted: it does not exist; list the resources of this kind to see their names.`)
    seen.add(name)
  }
}
