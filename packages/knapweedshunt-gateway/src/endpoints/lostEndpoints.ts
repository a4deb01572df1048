import type { LostEndpoint, LostSummary } from 'knapweedshunt-membership'
import type { EndpointRegistry } from './endpointRegistry.ts'

/** Number of endpoints of a pool about which other VMs are asked. */
const MAX_LOST_PER_POOL = 8

/** Lists endpoints that this VM has lost, some of each pool; draining ones do not count. */
export function listLostEndpoints (registry: EndpointRegistry): LostEndpoint[] {
  const nowMs = performance.now()
  return registry.listPools().flatMap(pool => registry.list(pool)
    .flatMap(({ entry: { endpoint, incarnation }, isDraining, lostAtMs }) => lostAtMs === null || isDraining ? [] : [{ pool, endpoint, incarnation, lostMs: nowMs - lostAtMs }])
    .slice(0, MAX_LOST_PER_POOL))
}

/** Summarizes what this VM knows of endpoints that another VM has lost. */
export function summarizeLostEndpoints (registry: EndpointRegistry, lost: LostEndpoint[]): LostSummary {
  const summary: LostSummary = { answered: 0, unheard: 0 }
  const nowMs = performance.now()
  for (const { endpoint, incarnation, lostMs } of lost) {
    const record = registry.find(endpoint)
    if (record === undefined || record.entry.incarnation !== incarnation || !record.isReached) continue
    if (nowMs - record.answeredAtMs < lostMs) summary.answered++
    else summary.unheard++
  }
  return summary
}
