import type { DataCentreId, EndpointName } from 'knapweedshunt-types'
import type { EndpointState } from './endpointState.ts'

/** Time for which a computed mean wait is reused, in milliseconds. */
const MEAN_WAIT_TTL_MS = 100

/** Maximum number of subgroups cached. One is in use for each kind of request and set of unavailable endpoints. */
const MAX_CACHED_SUBGROUPS = 32

/** Usable endpoints of one pool in one data centre; near data centres count as one. */
export class EndpointGroup {
  readonly dataCentre: DataCentreId
  /** The same array object as long as no member and no weight changes; rankings are cached by it. */
  readonly members: readonly EndpointState[]
  readonly meanWeight: number
  readonly #weights: number[]
  #meanWaitTokens = 0
  #meanWaitAtMs = -Infinity
  readonly #subgroups = new Map<string, EndpointGroup>()

  constructor (dataCentre: DataCentreId, members: readonly EndpointState[]) {
    this.dataCentre = dataCentre
    this.members = members
    this.#weights = members.map(member => member.weight)
    this.meanWeight = this.#weights.reduce((sum, weight) => sum + weight, 0) / members.length
  }

  /** Whether the group has exactly these members with unchanged weights. */
  hasSameMembers (members: readonly EndpointState[]): boolean {
    return members.length === this.members.length && members.every((member, i) => member === this.members[i] && member.weight === this.#weights[i])
  }

  /** Returns the group without the named members; null if none is left. Returns the same object for the same names unless it was evicted. */
  excludeMembers (names: readonly EndpointName[]): EndpointGroup | null {
    if (names.length === 0) return this
    const key = names.join()
    const cached = this.#subgroups.get(key)
    if (cached !== undefined) return cached
    const members = this.members.filter(member => !names.includes(member.endpoint))
    if (members.length === 0) return null
    const subgroup = new EndpointGroup(this.dataCentre, members)
    if (this.#subgroups.size >= MAX_CACHED_SUBGROUPS) this.#subgroups.clear()
    this.#subgroups.set(key, subgroup)
    return subgroup
  }

  /** Whether a load report of any member has been received. */
  get hasLoadReport (): boolean {
    return this.members.some(member => member.hasLoadReport)
  }

  /** Computes the mean wait of the members in prompt tokens. The result is reused for 100 ms, so that not every request visits all members. */
  countMeanWaitTokens (nowMs: number): number {
    if (nowMs - this.#meanWaitAtMs < MEAN_WAIT_TTL_MS) return this.#meanWaitTokens
    this.#meanWaitAtMs = nowMs
    this.#meanWaitTokens = this.members.reduce((sum, member) => sum + member.countWaitTokens(nowMs), 0) / this.members.length
    return this.#meanWaitTokens
  }
}
