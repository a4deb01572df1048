import { listServingWeights } from './listServingWeights.ts'
import type { PoolInput } from './plannerTypes.ts'

/** Endpoints of this data centre that serve and are not in a slot. */
export function listServing (input: PoolInput, taken: ReadonlySet<string>): ReadonlySet<string> {
  const views = input.endpoints.flatMap(entry => entry.view === null || entry.draining || taken.has(entry.endpoint) ? [] : [entry.view])
  const live = new Set(views.filter(view => view.state === 'live').map(view => view.endpoint))
  return new Set(listServingWeights(input.goal, views).filter(entry => entry.serves && live.has(entry.endpoint)).map(entry => entry.endpoint))
}

/**
 * Counts the pool's endpoints that serve and are not in a slot, over all data centres. Of the others only counts of a
 * fresh lease and of this goal hold; a data centre that reports nothing counts as none in service.
 */
export function countInService (input: PoolInput, taken: ReadonlySet<string>): number {
  const fresh = new Set(input.peers.filter(peer => peer.lease === 'fresh').map(peer => peer.dataCentre))
  const entries = input.row.dataCentres.filter(entry => fresh.has(entry.dataCentre) && entry.goalKey === input.goal.key)
  return listServing(input, taken).size + entries.reduce((sum, entry) => sum + entry.inService, 0)
}
