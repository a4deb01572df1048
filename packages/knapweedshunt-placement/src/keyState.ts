import { DemandRate } from './demandRate.ts'
import type { EndpointState } from './endpointState.ts'
import type { Evidence } from './evidence.ts'
import { readKeySeed } from './hashSeed.ts'
import type { HashSeed } from './hashSeed.ts'
import { rankBySeed, rankFirst } from './rankEndpoints.ts'

/** Pieces of evidence kept per key. */
const MAX_EVIDENCE = 32

/** Endpoints ranked for a key that fewer share. */
const MAX_RANKED = 16

/** Hex characters by which peers name a key. */
const SHORT_KEY_CHARS = 16

/** Ranking of a key within one parent's endpoints; valid while the parent's array is the same object. */
interface Ranking {
  parent: readonly EndpointState[]
  ranked: readonly EndpointState[]
  subset: readonly EndpointState[]
}

/** What is remembered of one level key. */
export class KeyState {
  readonly shortKey: string
  readonly demand: DemandRate
  /** Endpoints that share the key. */
  size = 1
  readonly #seed: HashSeed
  #evidence: Evidence[] = []
  #ranking: Ranking | null = null

  constructor (key: string, nowMs: number) {
    this.shortKey = key.slice(0, SHORT_KEY_CHARS)
    this.#seed = readKeySeed(key)
    this.demand = new DemandRate(nowMs)
  }

  /** First endpoints of the ranking within the parent's, at least as many as share the key. */
  rankWithin (parent: readonly EndpointState[]): readonly EndpointState[] {
    return this.#findRanking(parent).ranked
  }

  /** Whole ranking; not remembered. */
  rankAll (parent: readonly EndpointState[]): EndpointState[] {
    return rankBySeed(this.#seed, parent)
  }

  /** First endpoints of the ranking; the same array as long as nothing changed. */
  chooseSubset (parent: readonly EndpointState[]): readonly EndpointState[] {
    if (this.size >= parent.length) return parent
    const ranking = this.#findRanking(parent)
    if (ranking.subset.length !== this.size) ranking.subset = ranking.ranked.slice(0, this.size)
    return ranking.subset
  }

  /** What is known of the key on an endpoint, unless it is too old. */
  findEvidence (state: EndpointState, oldestMs: number): Evidence | undefined {
    const known = this.#evidence.find(one => one.state === state)
    return known === undefined || known.atMs < oldestMs || isLost(known) ? undefined : known
  }

  /** Notes evidence, unless newer evidence is known. */
  noteEvidence (evidence: Evidence): void {
    const at = this.#evidence.findIndex(one => one.state === evidence.state)
    if (at >= 0 && this.#evidence[at].atMs > evidence.atMs && !isLost(this.#evidence[at])) return
    if (at >= 0) this.#evidence.splice(at, 1)
    this.#evidence.push(evidence)
    if (this.#evidence.length > MAX_EVIDENCE) this.#evidence.shift()
  }

  /** Forgets what an attempt was to bring. */
  dropAttempt (attempt: string): void {
    this.#evidence = this.#evidence.filter(one => one.attempt !== attempt)
  }

  #findRanking (parent: readonly EndpointState[]): Ranking {
    const known = this.#ranking
    if (known?.parent === parent && known.ranked.length >= Math.min(this.size, parent.length)) return known
    const count = this.size <= MAX_RANKED ? MAX_RANKED : parent.length
    this.#ranking = { parent, ranked: rankFirst(this.#seed, parent, count), subset: [] }
    return this.#ranking
  }
}

/** Whether entries after a cache event were lost. */
function isLost ({ attempt, state, followEpoch }: Evidence): boolean {
  return attempt === null && followEpoch !== state.followEpoch
}
