import { DataCentreDirectory, EndpointMembership, VmMembership } from 'knapweedshunt-membership'
import type { MembershipEvent } from 'knapweedshunt-membership'
import { ResourceReplica } from 'knapweedshunt-resources'
import type { ChangesAnswer, EndpointView, Revision, RouterSnapshot, VmListEntry, VmView } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { answerExchange } from './answerExchange.ts'
import type { PeerAnswer } from './answerExchange.ts'
import type { ControlAction, ControlEvent, PlatformRead } from './controlEvents.ts'
import type { ControlStatus, ExchangeAnswer, ExchangeRequest, PushRequest } from './controlMessages.ts'
import { joinHeartbeats } from './splitHeartbeats.ts'
import { ExchangeBuilder } from './exchangeBuilder.ts'
import { GossipPeerSelector } from './gossipPeerSelector.ts'
import { JoinStateMachine } from './joinStateMachine.ts'
import { listAvoidedEndpoints } from './listAvoidedEndpoints.ts'
import { LoadPollScheduler } from './loadPollScheduler.ts'
import { DEFAULT_NODE_OPTIONS } from './nodeOptions.ts'
import type { NodeOptions } from './nodeOptions.ts'
import type { NodeSetup } from './nodeSetup.ts'
import { planPushes } from './planPushes.ts'
import { PlatformPollScheduler } from './platformPollScheduler.ts'
import { SummaryWriter } from './summaryWriter.ts'

/** Time after which an unanswered snapshot request may be repeated. */
const SNAPSHOT_REQUEST_TIMEOUT_MS = 5_000

/** Time after a new revision in which every exchange carries summaries and gateways exchange in every tick, since operators wait until the revision is in force. */
const FREQUENT_SUMMARIES_MS = 4_000

/** Decision logic of one VM's control process: turns events into actions. Performs no I/O. */
export class ControlNode {
  readonly vms: VmMembership
  readonly endpoints = new EndpointMembership()
  readonly dataCentres: DataCentreDirectory
  readonly replica = new ResourceReplica()
  readonly joinStateMachine: JoinStateMachine
  readonly #options: NodeOptions
  readonly #peerSelector: GossipPeerSelector
  readonly #platformPolls: PlatformPollScheduler
  readonly #loadPolls: LoadPollScheduler
  readonly #summaryWriter: SummaryWriter
  readonly #exchangeBuilder: ExchangeBuilder
  #platformVms: VmListEntry[] = []
  #tickCount = 0
  #highestSeenRevision: Revision = 0
  #snapshotRequestedAtMs = -Infinity
  #lastDown = ''
  #frequentSummariesUntilMs = 0

  constructor (setup: NodeSetup) {
    this.#options = setup.options ?? DEFAULT_NODE_OPTIONS
    this.vms = new VmMembership(setup.self, setup.createIncarnation, setup.membership)
    this.dataCentres = new DataCentreDirectory(setup.self.dataCentre)
    this.#exchangeBuilder = new ExchangeBuilder(this.vms, this.dataCentres, this.replica)
    this.joinStateMachine = new JoinStateMachine(this.#options.joinGossipWaitMs)
    this.#peerSelector = new GossipPeerSelector(this.#options, setup.rng, setup.seedUrls)
    this.#platformPolls = new PlatformPollScheduler(this.#options, setup.rng)
    this.#summaryWriter = new SummaryWriter(this.#options.summaryWriteTicks * this.#options.tickMs)
    this.#loadPolls = new LoadPollScheduler(this.endpoints, this.#options.loadPollTicks)
  }

  /** Whether the VM may serve: it has joined, holds resources and has not been superseded by a later process of its name. */
  get isReady (): boolean {
    return this.joinStateMachine.isReady && this.replica.snapshot.revision > 0 && !this.vms.isSuperseded
  }

  /** Handles an event; returns the actions for the caller to run. */
  handleEvent (event: ControlEvent): ControlAction[] {
    return match<ControlEvent, ControlAction[]>(event)
      .with({ type: 'tick' }, () => this.#tick())
      .with({ type: 'answered' }, ({ url, answer }) => this.#handleAnswer(url, answer))
      .with({ type: 'unanswered' }, ({ url }) => this.#handleUnanswered(url))
      .with({ type: 'pushed' }, ({ push }) => this.#handlePush(push))
      .with({ type: 'snapshotRead' }, ({ snapshot }) => this.#advanceRevision(false, () => this.replica.applySnapshot(snapshot)))
      .with({ type: 'platformRead' }, ({ read }) => this.#handlePlatformRead(read))
      .with({ type: 'platformUnanswered' }, () => this.#handleUnansweredPlatform())
      .with({ type: 'loadRead' }, ({ load }) => this.#recordLoad(() => this.endpoints.recordLoad(this.vms.self, load)))
      .with({ type: 'loadUnanswered' }, ({ endpoint, isRefused }) => this.#recordLoad(() => this.endpoints.recordUnansweredPoll(endpoint, isRefused)))
      .with({ type: 'routerAcked' }, ({ revision }) => this.#handleRouterAck(revision))
      .with({ type: 'observed' }, ({ endpoint, outcome }) => this.endpoints.recordOutcome(endpoint, outcome) ? this.#pushRouter() : [])
      .with({ type: 'stopped' }, () => this.#leave())
      .exhaustive()
  }

  /** Answers a peer's exchange request. */
  answerExchange (request: ExchangeRequest): PeerAnswer {
    return answerExchange({ vms: this.vms, dataCentres: this.dataCentres, replica: this.replica, exchangeBuilder: this.#exchangeBuilder }, request)
  }

  /** Answers a watch with the changes after a revision, or with the snapshot when those are no longer all retained. */
  answerChanges (after: Revision): ChangesAnswer {
    const { snapshot } = this.replica
    const changes = this.replica.listChangesAfter(after)
    return { revision: snapshot.revision, changes, snapshot: changes === null ? snapshot : null }
  }

  /** Lists the endpoints of this data centre with the states known to this VM. */
  listEndpoints (): EndpointView[] {
    return this.endpoints.listEndpoints(this.vms.self, this.vms.listReporters())
  }

  /** Builds the whole state that is pushed to the local router. */
  buildRouterSnapshot (): RouterSnapshot {
    const resources = this.replica.snapshot
    return {
      resources,
      vms: this.listVms(),
      endpoints: this.listEndpoints(),
      avoided: listAvoidedEndpoints(this.dataCentres.listOthers(), resources.resources)
    }
  }

  /** Builds the answer to `control.status` for the local admin. */
  buildStatus (): ControlStatus {
    return { ...this.buildRouterSnapshot(), isReady: this.isReady }
  }

  #tick (): ControlAction[] {
    this.#tickCount++
    const identityActions = this.vms.tick().flatMap(event => this.#handleIdentityChange(event))
    if (this.vms.isSuperseded) return identityActions
    this.joinStateMachine.tick()
    this.endpoints.updateDown(this.vms.self)
    return [...identityActions, ...this.#pollPlatform(), ...this.#exchangeLocally(), ...this.#exchangeRemotely(), ...this.#pollLoads(), ...this.#pushRouterIfDue()]
  }

  #handleIdentityChange (event: MembershipEvent): ControlAction[] {
    this.#exchangeBuilder.reset()
    this.#platformPolls.schedulePollNow()
    return match<MembershipEvent, ControlAction[]>(event)
      .with({ type: 'reincarnated' }, ({ former, incarnation }) => [{ type: 'log', message: `Continuing as incarnation ${incarnation}: ${former} was declared dead, paused too long or had a lower order than an earlier process of this VM.` }])
      .with({ type: 'superseded' }, ({ by }) => [{ type: 'log', message: `Superseded: incarnation ${by} runs under the same VM name, so this process no longer serves.` }])
      .exhaustive()
  }

  #pollPlatform (): ControlAction[] {
    const poll = this.#platformPolls.startDuePoll(this.vms, !this.joinStateMachine.isReady)
    return poll === null ? [] : [{ type: 'readPlatform', after: this.replica.snapshot.revision, withList: poll.withList }]
  }

  #exchangeLocally (): ControlAction[] {
    if (this.joinStateMachine.step.type === 'announcing') return []
    const url = this.#peerSelector.chooseLocalPeer(this.vms, this.#platformVms)
    return url === null ? [] : [this.#exchangeBuilder.buildLocalExchange(url, this.#isSummaryTurn(this.#options.summaryExchangeTicks))]
  }

  #exchangeRemotely (): ControlAction[] {
    if (!this.#peerSelector.isGateway(this.vms)) return []
    this.#summaryWriter.writeIfDue(this.vms, this.endpoints, this.dataCentres)
    if (!this.#isSummaryTurn(this.#options.remoteExchangeTicks)) return []
    const url = this.#peerSelector.chooseRemotePeer(this.vms, this.dataCentres, this.#platformVms)
    if (url === null) return []
    return [this.#exchangeBuilder.buildRemoteExchange(url)]
  }

  #isSummaryTurn (everyTicks: number): boolean {
    return this.#tickCount % everyTicks === 0 || performance.now() < this.#frequentSummariesUntilMs
  }

  #pollLoads (): ControlAction[] {
    const due = this.#loadPolls.listDuePolls(this.vms, this.#tickCount)
    return due.map(({ endpoint, url }) => ({ type: 'readLoad', endpoint, url }))
  }

  #pushRouterIfDue (): ControlAction[] {
    const down = this.vms.self.endpointStatus.down.value.join()
    const isUrgent = down !== this.#lastDown
    this.#lastDown = down
    return isUrgent || this.#tickCount % this.#options.routerPushTicks === 0 ? this.#pushRouter() : []
  }

  #pushRouter (): ControlAction[] {
    return this.isReady ? [{ type: 'pushRouter' }] : []
  }

  #handleAnswer (url: string, answer: ExchangeAnswer): ControlAction[] {
    if (answer.knows !== undefined) this.#exchangeBuilder.recordIsKnownBy(url, answer.knows)
    this.vms.applyDeltas(joinHeartbeats(answer.deltas ?? [], answer.beats ?? {}))
    if (answer.centres) this.dataCentres.applyDeltas(answer.centres)
    this.#highestSeenRevision = Math.max(this.#highestSeenRevision, answer.revision)
    const actions = this.#advanceRevision(false, () => this.replica.applyChanges(answer.changes ?? []))
    this.joinStateMachine.handleAnswer(url, true)
    return [...actions, ...this.#requestSnapshot(url, answer.revision)]
  }

  #handleUnanswered (url: string): ControlAction[] {
    this.#exchangeBuilder.recordIsKnownBy(url, false)
    this.joinStateMachine.handleAnswer(url, false)
    return []
  }

  #handlePush (push: PushRequest): ControlAction[] {
    const actions = this.#advanceRevision(false, () => this.replica.applyChanges(push.changes ?? []))
    const isBehind = this.replica.snapshot.revision < push.revision
    return isBehind ? [...actions, this.#exchangeBuilder.buildCatchUpExchange(push.from)] : actions
  }

  #handlePlatformRead (read: PlatformRead): ControlAction[] {
    this.#platformPolls.handlePollEnd(true)
    this.vms.setPlatformReachable(true)
    if (read.vmList) this.#platformVms = read.vmList
    const actions = this.#advanceRevision(true, () => {
      const isAdvanced = read.changes !== null && this.replica.applyChanges(read.changes)
      return (read.snapshot !== null && this.replica.applySnapshot(read.snapshot)) || isAdvanced
    })
    const { step } = this.joinStateMachine
    if (step.type === 'discovering') return [...actions, ...this.#announceSelf()]
    if (step.type === 'catchingUp' && this.replica.snapshot.revision >= read.revision) this.joinStateMachine.finishCatchingUp()
    return [...actions, ...this.#pushRouter()]
  }

  #handleUnansweredPlatform (): ControlAction[] {
    this.#platformPolls.handlePollEnd(false)
    this.vms.setPlatformReachable(false)
    const { step } = this.joinStateMachine
    const { revision } = this.replica.snapshot
    const hasPeers = this.vms.listLive().length > 1 || this.#highestSeenRevision > 0
    if (step.type === 'discovering' && hasPeers) return this.#announceSelf()
    if (step.type === 'catchingUp' && revision > 0 && revision >= this.#highestSeenRevision) this.joinStateMachine.finishCatchingUp()
    return this.#pushRouter()
  }

  #announceSelf (): ControlAction[] {
    const urls = this.#peerSelector.listLocalPeers(this.vms, this.#platformVms)
    this.joinStateMachine.startAnnouncing(urls)
    return urls.map(url => this.#exchangeBuilder.buildLocalExchange(url, false))
  }

  #recordLoad (record: () => void): ControlAction[] {
    record()
    return []
  }

  #handleRouterAck (revision: Revision): ControlAction[] {
    this.vms.setAppliedRevision(revision)
    return []
  }

  #leave (): ControlAction[] {
    this.vms.setLeaving()
    const { incarnationOrder: order } = this.vms.self
    const urls = this.#peerSelector.listLocalPeers(this.vms, [])
    this.#exchangeBuilder.reset()
    return [{ type: 'log', message: `Leaving with incarnation order ${order}.` }, ...urls.map(url => this.#exchangeBuilder.buildLocalExchange(url, false))]
  }

  /** Runs a step that returns whether it advanced the replica's revision; if so, propagates the new revision to peers and the router. */
  #advanceRevision (isFromPlatform: boolean, step: () => boolean): ControlAction[] {
    const previousRevision = this.replica.snapshot.revision
    if (!step()) return []
    this.#snapshotRequestedAtMs = -Infinity
    this.#frequentSummariesUntilMs = performance.now() + FREQUENT_SUMMARIES_MS
    this.#loadPolls.applyResources(this.replica.snapshot, this.vms.self.view.dataCentre)
    const pushes = planPushes({ vms: this.vms, replica: this.replica, caller: this.#exchangeBuilder.caller, previousRevision, isFromPlatform, fanOut: this.#options.pushFanOut })
    return [...pushes, ...this.#pushRouter()]
  }

  #requestSnapshot (url: string, revision: Revision): ControlAction[] {
    const isKnown = revision <= this.replica.snapshot.revision
    if (isKnown || performance.now() - this.#snapshotRequestedAtMs < SNAPSHOT_REQUEST_TIMEOUT_MS) return []
    this.#snapshotRequestedAtMs = performance.now()
    return [{ type: 'readSnapshot', url }]
  }

  /** Lists all known VMs, of this data centre and of the others. */
  listVms (): VmView[] {
    return [...this.vms.listVms(), ...this.dataCentres.listOtherVms()]
  }
}
