import type { DataCentreDirectory, VmMembership } from 'knapweedshunt-membership'
import type { ResourceReplica } from 'knapweedshunt-resources'
import type { ControlAction } from './controlEvents.ts'
import type { Caller, ExchangeRequest } from './controlMessages.ts'

/** Builds exchanges, and remembers which peers know this VM. Opens nothing. */
export class ExchangePlan {
  readonly #vms: VmMembership
  readonly #centres: DataCentreDirectory
  readonly #replica: ResourceReplica
  readonly #acquainted = new Set<string>()

  constructor (vms: VmMembership, centres: DataCentreDirectory, replica: ResourceReplica) {
    this.#vms = vms
    this.#centres = centres
    this.#replica = replica
  }

  /** This VM as peers are told. */
  get caller (): Caller {
    const { vm, dataCentre, controlUrl } = this.#vms.self.view
    return { vm, dataCentre, url: controlUrl }
  }

  /** Notes whether a peer knows this VM. */
  note (url: string, isKnown: boolean): void {
    if (isKnown) this.#acquainted.add(url)
    else this.#acquainted.delete(url)
  }

  /** Forgets who knows this VM, since what it is changed. */
  reset (): void {
    this.#acquainted.clear()
  }

  /** An exchange with a VM of the own data centre. */
  buildNear (url: string, withCentres: boolean): ControlAction {
    const request: ExchangeRequest = { from: this.caller, revision: this.#replica.snapshot.revision, known: this.#vms.buildVersions() }
    if (!this.#acquainted.has(url)) request.own = this.#vms.buildOwnDelta(undefined) ?? undefined
    if (withCentres) request.centres = this.#centres.buildVersions()
    return { type: 'exchange', url, request }
  }

  /** An exchange with a VM of another data centre. */
  buildFar (url: string): ControlAction {
    const request: ExchangeRequest = { from: this.caller, revision: this.#replica.snapshot.revision, centres: this.#centres.buildVersions() }
    return { type: 'exchange', url, request }
  }

  /** An exchange with a VM that is ahead. */
  buildBehind (peer: Caller): ControlAction {
    return peer.dataCentre === this.#vms.self.view.dataCentre ? this.buildNear(peer.url, false) : this.buildFar(peer.url)
  }
}
