import type { DataCentreView } from 'knapweedshunt-membership'
import type { EndpointName, Resource } from 'knapweedshunt-types'

/** Endpoints of other data centres that this one's routers leave out: those told as out of service, and all of a data centre that is not reached. */
export function listAvoided (others: DataCentreView[], resources: Resource[]): EndpointName[] {
  const told = others.flatMap(centre => centre.down)
  const silent = new Set(others.filter(centre => !centre.reached).map(centre => centre.dataCentre))
  if (silent.size === 0) return told
  const unreached = resources.flatMap(resource => resource.kind === 'Endpoint' && silent.has(resource.spec.dataCentre) ? [resource.name] : [])
  return [...new Set([...told, ...unreached])]
}
