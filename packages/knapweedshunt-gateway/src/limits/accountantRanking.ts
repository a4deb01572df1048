import { hashToUint32, rankVms } from 'knapweedshunt-membership'
import type { DataCentreId, OrganisationName, VmId } from 'knapweedshunt-types'

/** Number of groups of organisations; each has one accountant. */
const GROUP_COUNT = 4

/** Time for which a VM that did not answer is left out, and the others of its data centre if there is another one; it doubles with each further failure, up to the longest. In milliseconds. */
const LEFT_OUT = { firstMs: 2_000, maxMs: 8_000 }

/** A VM that can keep accounts. */
export interface Accountant {
  vm: VmId
  dataCentre: DataCentreId
}

interface Failure {
  leftOutMs: number
  untilMs: number
}

/** Finds the group of an organisation, from 0 on. */
export function findUsageGroup (organisation: OrganisationName): number {
  return hashToUint32(organisation) % GROUP_COUNT
}

/** Chooses the accountants of the groups: by rendezvous hashing, so that VMs agree without messages. */
export class AccountantRanking {
  readonly #ownDataCentre: DataCentreId
  readonly #failures = new Map<VmId, Failure>()
  /** Data centres of which a VM was silent: one may be cut off as a whole. */
  readonly #silences = new Map<DataCentreId, Failure>()
  readonly #rankings = new Map<number, VmId[]>()
  #dataCentres = new Map<VmId, DataCentreId>()

  constructor (ownDataCentre: DataCentreId) {
    this.#ownDataCentre = ownDataCentre
  }

  /** Replaces the VMs that can be accountants. */
  setAccountants (accountants: Accountant[]): void {
    this.#dataCentres = new Map(accountants.map(({ vm, dataCentre }) => [vm, dataCentre]))
    for (const vm of this.#failures.keys()) if (!this.#dataCentres.has(vm)) this.#failures.delete(vm)
    this.#rankings.clear()
  }

  /** Chooses the VM to ask for a group; undefined without one. */
  choose (group: number, nowMs: number): VmId | undefined {
    const usable = this.#rank(group).filter(vm => !this.#isLeftOut(this.#failures.get(vm), nowMs))
    return usable.find(vm => !this.#isLeftOut(this.#silences.get(this.#dataCentres.get(vm)!), nowMs)) ?? usable[0]
  }

  /** Finds the VM that all others should ask for a group; `isFailing` tells VMs that did not answer. */
  findFirst (group: number, isFailing: (vm: VmId) => boolean): VmId | undefined {
    return this.#rank(group).find(vm => !isFailing(vm))
  }

  /** Records that a VM did not answer; `isSilent` unless its address refused the connection. */
  recordFailed (vm: VmId, isSilent: boolean, nowMs: number): void {
    this.#failures.set(vm, extendFailure(this.#failures.get(vm), nowMs))
    const dataCentre = this.#dataCentres.get(vm)
    if (isSilent && dataCentre !== undefined && dataCentre !== this.#ownDataCentre) this.#silences.set(dataCentre, extendFailure(this.#silences.get(dataCentre), nowMs))
  }

  /** Records that a VM answered. */
  recordAnswered (vm: VmId): void {
    this.#failures.delete(vm)
    this.#silences.delete(this.#dataCentres.get(vm) ?? '')
  }

  #isLeftOut (failure: Failure | undefined, nowMs: number): boolean {
    return failure !== undefined && nowMs < failure.untilMs
  }

  #rank (group: number): VmId[] {
    const ranking = this.#rankings.get(group) ?? rankVms(`usage|${group}`, [...this.#dataCentres.keys()])
    this.#rankings.set(group, ranking)
    return ranking
  }
}

function extendFailure (known: Failure | undefined, nowMs: number): Failure {
  const leftOutMs = known === undefined ? LEFT_OUT.firstMs : Math.min(LEFT_OUT.maxMs, 2 * known.leftOutMs)
  return { leftOutMs, untilMs: nowMs + leftOutMs }
}
