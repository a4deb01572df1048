import type { Resource, ResourceOperation, Revision } from 'knapweedshunt-types'

/** Returns the resources after the operations of one change; each resource that is put gets the revision of the change. */
export function applyOps (resources: Resource[], ops: ResourceOperation[], revision: Revision): Resource[] {
  const byKey = new Map(resources.map(resource => [`${resource.kind}/${resource.name}`, resource]))
  for (const op of ops) {
    if (op.type === 'put') byKey.set(`${op.resource.kind}/${op.resource.name}`, { ...op.resource, revision })
    else byKey.delete(`${op.kind}/${op.name}`)
  }
  return [...byKey.values()]
}
