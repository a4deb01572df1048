import type { DataCentreView } from 'knapweedshunt-membership'
import type { EndpointName, Resource } from 'knapweedshunt-types'

/** Lists the endpoints of other data centres that routers of this one must not use: those reported as out of service, and all endpoints of an unreachable data centre. */
export function listAvoidedEndpoints (otherDataCentres: DataCentreView[], resources: Resource[]): EndpointName[] {
  const reportedDown = otherDataCentres.flatMap(centre => centre.down)
  const unreachedDataCentres = new Set(otherDataCentres.filter(centre => !centre.reached).map(centre => centre.dataCentre))
  if (unreachedDataCentres.size === 0) return reportedDown
  const unreachedEndpoints = resources.flatMap(resource => resource.kind === 'Endpoint' && unreachedDataCentres.has(resource.spec.dataCentre) ? [resource.name] : [])
  return [...new Set([...reportedDown, ...unreachedEndpoints])]
}
