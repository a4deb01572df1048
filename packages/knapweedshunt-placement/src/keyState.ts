import { DemandRate } from './demandRate.ts'
import type { EndpointState } from './endpointState.ts'
import type { CacheObservation } from './cacheObservation.ts'
import { parseKeySeed } from './hashSeed.ts'
import type { HashSeed } from './hashSeed.ts'
import { rankBySeed, rankTop } from './rankEndpoints.ts'

/** Maximum number of observations per key. */
const MAX_OBSERVATIONS = 32

/** Endpoints ranked for a key whose subset is not larger; a larger subset needs the full ranking. */
const MAX_RANKED = 16

/** Length of the key prefix that peers exchange, in hex characters. */
const SHORT_KEY_CHARS = 16

/** Cached ranking of a key within the parent's endpoints; valid while the parent's array is the same object. */
interface Ranking {
  parent: readonly EndpointState[]
  ranked: readonly EndpointState[]
  subset: readonly EndpointState[]
}

/** State of one level key: demand, subset size, ranking and cache observations. */
export class KeyState {
  readonly shortKey: string
  readonly demand: DemandRate
  /** Number of endpoints that share the key. */
  size = 1
  readonly #seed: HashSeed
  #observations: CacheObservation[] = []
  #ranking: Ranking | null = null

  constructor (key: string, nowMs: number) {
    this.shortKey = key.slice(0, SHORT_KEY_CHARS)
    this.#seed = parseKeySeed(key)
    this.demand = new DemandRate(nowMs)
  }

  /** Returns the first endpoints of the ranking within the parent's, at least as many as share the key. */
  rankWithin (parent: readonly EndpointState[]): readonly EndpointState[] {
    return this.#findRanking(parent).ranked
  }

  /** Ranks all endpoints of the parent; not cached. */
  rankAll (parent: readonly EndpointState[]): EndpointState[] {
    return rankBySeed(this.#seed, parent)
  }

  /** Returns the endpoints that share the key; the same array object as long as the parent and the size stay the same. */
  chooseSubset (parent: readonly EndpointState[]): readonly EndpointState[] {
    if (this.size >= parent.length) return parent
    const ranking = this.#findRanking(parent)
    if (ranking.subset.length !== this.size) ranking.subset = ranking.ranked.slice(0, this.size)
    return ranking.subset
  }

  /** Finds the observation of the key on an endpoint, unless it is older than `oldestMs` or outdated by a gap in the event stream. */
  findObservation (state: EndpointState, oldestMs: number): CacheObservation | undefined {
    const known = this.#observations.find(one => one.state === state)
    return known === undefined || known.atMs < oldestMs || isOutdated(known) ? undefined : known
  }

  /** Records an observation, unless a newer valid one is known. */
  recordObservation (observation: CacheObservation): void {
    const at = this.#observations.findIndex(one => one.state === observation.state)
    if (at >= 0 && this.#observations[at].atMs > observation.atMs && !isOutdated(this.#observations[at])) return
    if (at >= 0) this.#observations.splice(at, 1)
    this.#observations.push(observation)
    if (this.#observations.length > MAX_OBSERVATIONS) this.#observations.shift()
  }

  /** Removes the observations of an attempt that may not have filled the cache. */
  removeAttemptObservations (attempt: string): void {
    this.#observations = this.#observations.filter(one => one.attempt !== attempt)
  }

  #findRanking (parent: readonly EndpointState[]): Ranking {
    const known = this.#ranking
    if (known?.parent === parent && known.ranked.length >= Math.min(this.size, parent.length)) return known
    const count = this.size <= MAX_RANKED ? MAX_RANKED : parent.length
    this.#ranking = { parent, ranked: rankTop(this.#seed, parent, count), subset: [] }
    return this.#ranking
  }
}

/** Whether entries of the stream were lost after a cache event. */
function isOutdated ({ attempt, state, cacheStreamEpoch }: CacheObservation): boolean {
  return attempt === null && cacheStreamEpoch !== state.cacheStreamEpoch
}
