import type { Rng } from 'knapweedshunt-utils'
import type { EndpointState } from './endpointState.ts'

/** Draws one of the items, in proportion to the weights of their endpoints. */
export function drawByCapacity<Item> (items: readonly Item[], getState: (item: Item) => EndpointState, rng: Rng): Item {
  const weights = items.map(item => getState(item).weight)
  if (weights.every(weight => weight === weights[0])) return items[rng.drawInt(items.length)]
  let left = rng.drawFloat() * weights.reduce((sum, weight) => sum + weight, 0)
  const drawn = weights.findIndex(weight => (left -= weight) < 0)
  return items[drawn === -1 ? items.length - 1 : drawn]
}
