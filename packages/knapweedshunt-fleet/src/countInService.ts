import { listServingWeights } from './listServingWeights.ts'
import type { PoolInput } from './plannerTypes.ts'

/** Lists this data centre's live endpoints that serve and hold no load slot. */
export function listServingEndpoints (input: PoolInput, slotEndpoints: ReadonlySet<string>): ReadonlySet<string> {
  const views = input.endpoints.flatMap(entry => entry.view === null || entry.draining || slotEndpoints.has(entry.endpoint) ? [] : [entry.view])
  const live = new Set(views.filter(view => view.state === 'live').map(view => view.endpoint))
  return new Set(listServingWeights(input.goal, views).filter(entry => entry.isServing && live.has(entry.endpoint)).map(entry => entry.endpoint))
}

/**
 * Counts the pool's endpoints that serve and hold no load slot, over all data centres. The count of another data centre is
 * used only while its lease is fresh and the count was made for this goal; otherwise that data centre counts as zero.
 */
export function countInService (input: PoolInput, slotEndpoints: ReadonlySet<string>): number {
  const freshDataCentres = new Set(input.peers.filter(peer => peer.lease === 'fresh').map(peer => peer.dataCentre))
  const entries = input.row.dataCentres.filter(entry => freshDataCentres.has(entry.dataCentre) && entry.goalKey === input.goal.key)
  return listServingEndpoints(input, slotEndpoints).size + entries.reduce((sum, entry) => sum + entry.inService, 0)
}
