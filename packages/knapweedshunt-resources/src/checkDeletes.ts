import type { Resource, ResourceOp } from 'knapweedshunt-types'
import { ResourceInvalidError } from './resourceErrors.ts'

/** Checks that every deleted resource is there and that no resource stands twice in a change. Throws ResourceInvalidError. */
export function checkDeletes (resources: Resource[], ops: ResourceOp[]): void {
  const present = new Set(resources.map(resource => `${resource.kind} ${resource.name}`))
  const seen = new Set<string>()
  for (const op of ops) {
    const name = op.type === 'put' ? `${op.resource.kind} ${op.resource.name}` : `${op.kind} ${op.name}`
    if (seen.has(name)) throw new ResourceInvalidError(`${name} stands twice in the change: name each resource once.`)
    if (op.type === 'delete' && !present.has(name)) throw new ResourceInvalidError(`${name} cannot be deleted: there is none of that name; list what there is.`)
    seen.add(name)
  }
}
