import type { PriorityClassRule, OrganisationRule } from 'knapweedshunt-admission'
import type { LimitSpec, Liveness, Resource, RouterSnapshot } from 'knapweedshunt-types'

const INACTIVE_STATES: Liveness[] = ['leaving', 'dead']

/** Lists the rules of the declared priority classes. */
export function listPriorityClassRules (resources: Resource[]): PriorityClassRule[] {
  return resources.flatMap(resource => resource.kind === 'PriorityClass' ? [{ name: resource.name, rank: resource.spec.rank, ageingMs: resource.spec.ageingMs }] : [])
}

/** Lists the organisations with weight and limits; if an organisation has several limits, the strictest applies. A limit is null when none is declared. */
export function listOrganisationRules (resources: Resource[]): OrganisationRule[] {
  const limits = new Map<string, LimitSpec>()
  for (const resource of resources) if (resource.kind === 'Limit') limits.set(resource.spec.organisation, mergeLimits(limits.get(resource.spec.organisation), resource.spec))
  return resources.flatMap(resource => {
    if (resource.kind !== 'Organisation') return []
    const limit = limits.get(resource.name)
    return [{ organisation: resource.name, weight: resource.spec.weight, requestsPerSecond: limit?.requestsPerSecond ?? null, concurrent: limit?.concurrent ?? null }]
  })
}

/** Counts the VMs that may admit requests, among which limits are shared. */
export function countActiveVms (snapshot: RouterSnapshot): number {
  return snapshot.vms.filter(vm => !INACTIVE_STATES.includes(vm.state)).length
}

function mergeLimits (existing: LimitSpec | undefined, limit: LimitSpec): LimitSpec {
  if (existing === undefined) return limit
  return {
    organisation: limit.organisation,
    requestsPerSecond: Math.min(existing.requestsPerSecond, limit.requestsPerSecond),
    concurrent: Math.min(existing.concurrent, limit.concurrent)
  }
}
