import type { PriorityClassRule, OrganisationRule } from 'knapweedshunt-admission'
import type { LimitSpec, Liveness, Resource, RouterSnapshot } from 'knapweedshunt-types'

const GONE: Liveness[] = ['leaving', 'dead']

/** Lists the declared priority classes. */
export function listClasses (resources: Resource[]): PriorityClassRule[] {
  return resources.flatMap(one => one.kind === 'PriorityClass' ? [{ name: one.name, rank: one.spec.rank, ageingMs: one.spec.ageingMs }] : [])
}

/** Lists the organisations with weight and limits; of several limits of one organisation the strictest counts. */
export function listRules (resources: Resource[]): OrganisationRule[] {
  const limits = new Map<string, LimitSpec>()
  for (const one of resources) if (one.kind === 'Limit') limits.set(one.spec.organisation, joinLimits(limits.get(one.spec.organisation), one.spec))
  return resources.flatMap(one => {
    if (one.kind !== 'Organisation') return []
    const limit = limits.get(one.name)
    return [{ organisation: one.name, weight: one.spec.weight, requestsPerSecond: limit?.requestsPerSecond ?? null, concurrent: limit?.concurrent ?? null }]
  })
}

/** Counts the VMs that may admit requests. */
export function countVms (snapshot: RouterSnapshot): number {
  return snapshot.vms.filter(vm => !GONE.includes(vm.state)).length
}

function joinLimits (known: LimitSpec | undefined, limit: LimitSpec): LimitSpec {
  if (known === undefined) return limit
  return {
    organisation: limit.organisation,
    requestsPerSecond: Math.min(known.requestsPerSecond, limit.requestsPerSecond),
    concurrent: Math.min(known.concurrent, limit.concurrent)
  }
}
