import type { PoolReach } from 'knapweedshunt-membership'
import type { PoolName } from 'knapweedshunt-types'
import type { EndpointRegistry } from './endpointRegistry.ts'

/** Lists how many endpoints of each pool this VM reaches. */
export function listPoolReaches (registry: EndpointRegistry): PoolReach[] {
  return registry.listPools().map(pool => computePoolReach(registry, pool))
}

/** Computes how many endpoints of a pool this VM reaches; draining ones do not count. */
export function computePoolReach (registry: EndpointRegistry, pool: PoolName): PoolReach {
  let [reached, known] = [0, 0]
  for (const { isDraining, isReached } of registry.list(pool)) {
    if (isDraining) continue
    known++
    if (isReached) reached++
  }
  return { pool, reached, known }
}
