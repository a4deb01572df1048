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

/** First `count` of the ranking, found without sorting the rest. */
export function rankFirst<E extends RankedEndpoint> (seed: HashSeed, endpoints: readonly E[], count: number): E[] {
  if (endpoints.length <= count) return rankBySeed(seed, endpoints)
  const first: Array<Scored<E>> = []
  for (const endpoint of endpoints) {
    const score = scoreEndpoint(seed, endpoint)
    if (first.length === count && score < first[count - 1].score) continue
    addScored(first, { endpoint, score })
    if (first.length > count) first.pop()
  }
  return first.map(one => one.endpoint)
}

function addScored<E extends RankedEndpoint> (sorted: Array<Scored<E>>, one: Scored<E>): void {
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
