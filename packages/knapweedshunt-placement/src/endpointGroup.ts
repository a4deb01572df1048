import type { DataCentreId, EndpointName } from 'knapweedshunt-types'
import type { EndpointState } from './endpointState.ts'

/** Time for which the mean wait is not computed anew, in milliseconds. */
const MEAN_WAIT_MS = 100

/** Parts of a group remembered; one for each kind of request and state of its endpoints is in use at a time. */
const MAX_PARTS = 32

/** Usable endpoints of one pool in one data centre. */
export class EndpointGroup {
  readonly dataCentre: DataCentreId
  /** The same array as long as no member and no weight changes. */
  readonly members: readonly EndpointState[]
  readonly meanWeight: number
  readonly #weights: number[]
  #meanWaitTokens = 0
  #meanAtMs = -Infinity
  readonly #parts = new Map<string, EndpointGroup>()

  constructor (dataCentre: DataCentreId, members: readonly EndpointState[]) {
    this.dataCentre = dataCentre
    this.members = members
    this.#weights = members.map(member => member.weight)
    this.meanWeight = this.#weights.reduce((sum, weight) => sum + weight, 0) / members.length
  }

  /** Whether a group of these members would be the same. */
  isSame (members: readonly EndpointState[]): boolean {
    return members.length === this.members.length && members.every((member, i) => member === this.members[i] && member.weight === this.#weights[i])
  }

  /** The group without some of its members; null if none is left. The same object as long as the group and the names stay the same. */
  without (names: readonly EndpointName[]): EndpointGroup | null {
    if (names.length === 0) return this
    const key = names.join()
    const known = this.#parts.get(key)
    if (known !== undefined) return known
    const members = this.members.filter(member => !names.includes(member.endpoint))
    if (members.length === 0) return null
    const part = new EndpointGroup(this.dataCentre, members)
    if (this.#parts.size >= MAX_PARTS) this.#parts.clear()
    this.#parts.set(key, part)
    return part
  }

  /** Whether any member's load was heard. */
  get isReported (): boolean {
    return this.members.some(member => member.isReported)
  }

  /** Mean wait over the members in prompt tokens, at most a tenth of a second old so that no request pays for all members. */
  countMeanWaitTokens (nowMs: number): number {
    if (nowMs - this.#meanAtMs < MEAN_WAIT_MS) return this.#meanWaitTokens
    this.#meanAtMs = nowMs
    this.#meanWaitTokens = this.members.reduce((sum, member) => sum + member.countWaitTokens(nowMs), 0) / this.members.length
    return this.#meanWaitTokens
  }
}
