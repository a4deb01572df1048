import { createHash } from 'node:crypto'
import type { EndpointName } from 'knapweedshunt-types'

/** An endpoint that can be ranked. */
export interface RankedEndpoint {
  endpoint: EndpointName
  /** Relative capacity, > 0. */
  weight: number
}

const SCORE_STEPS = 2 ** 48

/** Ranks endpoints for a key by weighted rendezvous hashing, best first. Equal input gives equal ranking on every VM. */
export function rankEndpoints<E extends RankedEndpoint> (key: string, endpoints: E[]): E[] {
  return endpoints
    .map(endpoint => ({ endpoint, score: scoreEndpoint(key, endpoint) }))
    .sort((a, b) => b.score - a.score)
    .map(scored => scored.endpoint)
}

function scoreEndpoint (key: string, endpoint: RankedEndpoint): number {
  const digest = createHash('sha256').update(key).update('\0').update(endpoint.endpoint).digest()
  const uniform = (digest.readUIntBE(0, 6) + 1) / (SCORE_STEPS + 1)
  return -endpoint.weight / Math.log(uniform)
}
