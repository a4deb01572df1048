import type { EndpointName } from 'knapweedshunt-types'
import { hashSeeds, parseKeySeed } from './hashSeed.ts'
import type { HashSeed } from './hashSeed.ts'

/** The properties of an endpoint that its rank depends on. */
export interface RankedEndpoint {
  endpoint: EndpointName
  /** Relative capacity, > 0. */
  weight: number
  /** Seed derived from the endpoint's name, see {@link parseKeySeed}. */
  seed: HashSeed
}

interface Scored<E> {
  endpoint: E
  score: number
}

/** Ranks endpoints for a key by weighted rendezvous hashing, best first. Equal input gives an equal ranking on every VM. */
export function rankEndpoints<E extends RankedEndpoint> (key: string, endpoints: readonly E[]): E[] {
  return rankBySeed(parseKeySeed(key), endpoints)
}

/** Like {@link rankEndpoints}, for a key whose seed is already parsed. */
export function rankBySeed<E extends RankedEndpoint> (seed: HashSeed, endpoints: readonly E[]): E[] {
  const scored = new Array<Scored<E>>(endpoints.length)
  for (let i = 0; i < endpoints.length; i++) scored[i] = { endpoint: endpoints[i], score: scoreEndpoint(seed, endpoints[i]) }
  scored.sort(compareScored)
  return scored.map(one => one.endpoint)
}

/** Returns the first `count` endpoints of the ranking without sorting the others. */
export function rankTop<E extends RankedEndpoint> (seed: HashSeed, endpoints: readonly E[], count: number): E[] {
  if (endpoints.length <= count) return rankBySeed(seed, endpoints)
  const best: Array<Scored<E>> = []
  for (const endpoint of endpoints) {
    const score = scoreEndpoint(seed, endpoint)
    if (best.length === count && score < best[count - 1].score) continue
    insertScored(best, { endpoint, score })
    if (best.length > count) best.pop()
  }
  return best.map(one => one.endpoint)
}

function insertScored<E extends RankedEndpoint> (sorted: Array<Scored<E>>, one: Scored<E>): void {
  let i = sorted.push(one) - 1
  for (; i > 0 && compareScored(one, sorted[i - 1]) < 0; i--) sorted[i] = sorted[i - 1]
  sorted[i] = one
}

function scoreEndpoint (seed: HashSeed, endpoint: RankedEndpoint): number {
  return -endpoint.weight / Math.log(hashSeeds(seed, endpoint.seed))
}

function compareScored (a: Scored<RankedEndpoint>, b: Scored<RankedEndpoint>): number {
  return b.score - a.score || (a.endpoint.endpoint < b.endpoint.endpoint ? -1 : 1)
}
