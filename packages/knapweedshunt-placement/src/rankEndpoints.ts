import type { EndpointName } from 'knapweedshunt-types'
import { hashSeeds, readKeySeed } from './hashSeed.ts'
import type { HashSeed } from './hashSeed.ts'

/** An endpoint that can be ranked. */
export interface RankedEndpoint {
  endpoint: EndpointName
  /** Relative capacity, > 0. */
  weight: number
  /** Hash of the endpoint's name, see {@link readKeySeed}. */
  seed: HashSeed
}

interface Scored<E> {
  endpoint: E
  score: number
}

/** Ranks endpoints for a key by weighted rendezvous hashing, best first. Equal input gives equal ranking on every VM. */
export function rankEndpoints<E extends RankedEndpoint> (key: string, endpoints: readonly E[]): E[] {
  return rankBySeed(readKeySeed(key), endpoints)
}

/** Like {@link rankEndpoints}, for a key whose seed was read before. */
export function rankBySeed<E extends RankedEndpoint> (seed: HashSeed, endpoints: readonly E[]): E[] {
  const scored = new Array<Scored<E>>(endpoints.length)
  for (let i = 0; i < endpoints.length; i++) scored[i] = { endpoint: endpoints[i], score: scoreEndpoint(seed, endpoints[i]) }
  scored.sort(compareScored)
  return scored.map(one => one.endpoint)
}

function scoreEndpoint (seed: HashSeed, endpoint: RankedEndpoint): number {
  return -endpoint.weight / Math.log(hashSeeds(seed, endpoint.seed))
}

function compareScored (a: Scored<RankedEndpoint>, b: Scored<RankedEndpoint>): number {
  return b.score - a.score || (a.endpoint.endpoint < b.endpoint.endpoint ? -1 : 1)
}
