import type { PoolReach } from 'knapweedshunt-membership'
import type { PoolName } from 'knapweedshunt-types'
import { groupBy } from 'knapweedshunt-utils'
import type { EndpointRegistry } from './endpointRegistry.ts'

/** Lists how many endpoints of each pool this VM reaches. */
export function listPoolReaches (registry: EndpointRegistry): PoolReach[] {
  return [...groupBy(registry.list(), ({ entry }) => entry.pool).keys()].map(pool => computePoolReach(registry, pool))
}

/** Computes how many endpoints of a pool this VM reaches; draining ones do not count. */
export function computePoolReach (registry: EndpointRegistry, pool: PoolName): PoolReach {
  const active = registry.list(pool).filter(({ isDraining }) => !isDraining)
  return { pool, reached: active.filter(({ isReached }) => isReached).length, known: active.length }
}
