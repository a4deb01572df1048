import { EndpointMembership, VmMembership } from 'knapweedshunt-membership'
import { ResourceReplica } from 'knapweedshunt-resources'
import type { RouterSnapshot, VmView } from 'knapweedshunt-types'
import type { ExchangeAnswer, ExchangeRequest } from './controlMessages.ts'

/** What one control knows. Opens nothing. */
export class ControlState {
  readonly vms: VmMembership
  readonly endpoints = new EndpointMembership()
  readonly replica = new ResourceReplica()

  constructor (self: VmView) {
    this.vms = new VmMembership(self)
  }

  /** Answers a peer. */
  answerExchange (request: ExchangeRequest): ExchangeAnswer {
    this.vms.takeDigests(request.digests)
    const { snapshot } = this.replica
    const digests = this.vms.buildDigests()
    if (request.revision >= snapshot.revision) return { digests, changes: null, snapshot: null }
    const changes = this.replica.listChangesAfter(request.revision)
    return { digests, changes, snapshot: changes === null ? snapshot : null }
  }

  /** Takes a peer's answer. */
  takeExchange (answer: ExchangeAnswer): void {
    this.vms.takeDigests(answer.digests)
    if (answer.snapshot !== null) this.replica.takeSnapshot(answer.snapshot)
    if (answer.changes !== null) this.replica.takeChanges(answer.changes)
  }

  /** What the router gets. */
  buildRouterSnapshot (): RouterSnapshot {
    return { resources: this.replica.snapshot, vms: this.vms.listVms(), endpoints: this.endpoints.listEndpoints() }
  }
}
