import type { DataCentreDirectory, VmMembership } from 'knapweedshunt-membership'
import type { ResourceReplica } from 'knapweedshunt-resources'
import type { ControlAction } from './controlEvents.ts'
import type { Caller, ExchangeRequest } from './controlMessages.ts'

/** Builds exchange requests and tracks which peers know this VM's state. Performs no I/O. */
export class ExchangeBuilder {
  readonly #vms: VmMembership
  readonly #dataCentres: DataCentreDirectory
  readonly #replica: ResourceReplica
  readonly #urlsKnowingSelf = new Set<string>()

  constructor (vms: VmMembership, dataCentres: DataCentreDirectory, replica: ResourceReplica) {
    this.#vms = vms
    this.#dataCentres = dataCentres
    this.#replica = replica
  }

  /** Identity of this VM, as sent with each peer message. */
  get caller (): Caller {
    const { vm, dataCentre, controlUrl } = this.#vms.self.view
    return { vm, dataCentre, url: controlUrl }
  }

  /** Records whether a peer knows this VM; if not, the next local exchange with it includes the own state. */
  recordIsKnownBy (url: string, isKnown: boolean): void {
    if (isKnown) this.#urlsKnowingSelf.add(url)
    else this.#urlsKnowingSelf.delete(url)
  }

  /** Clears the record of which peers know this VM. Call it when the own identity or state has changed, so that it is sent again. */
  reset (): void {
    this.#urlsKnowingSelf.clear()
  }

  /** Builds an exchange with a VM of this data centre. */
  buildLocalExchange (url: string, withSummaries: boolean): ControlAction {
    const request: ExchangeRequest = { from: this.caller, revision: this.#replica.snapshot.revision, known: this.#vms.buildVersions() }
    if (!this.#urlsKnowingSelf.has(url)) request.own = this.#vms.buildOwnDelta(undefined) ?? undefined
    if (withSummaries) request.centres = this.#dataCentres.buildVersions()
    return { type: 'exchange', url, request }
  }

  /** Builds an exchange with a VM of another data centre; it covers the revision and the data centre summaries. */
  buildRemoteExchange (url: string): ControlAction {
    const request: ExchangeRequest = { from: this.caller, revision: this.#replica.snapshot.revision, centres: this.#dataCentres.buildVersions() }
    return { type: 'exchange', url, request }
  }

  /** Builds an exchange with a VM that holds a newer revision. */
  buildCatchUpExchange (peer: Caller): ControlAction {
    return peer.dataCentre === this.#vms.self.view.dataCentre ? this.buildLocalExchange(peer.url, false) : this.buildRemoteExchange(peer.url)
  }
}
