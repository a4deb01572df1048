import { DataCentreDirectory, EndpointMembership, VmMembership } from 'knapweedshunt-membership'
import type { MembershipEvent } from 'knapweedshunt-membership'
import { ResourceReplica } from 'knapweedshunt-resources'
import type { ChangesAnswer, EndpointView, Revision, RouterSnapshot, VmListEntry, VmView } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import { answerExchange } from './answerExchange.ts'
import type { PeerAnswer } from './answerExchange.ts'
import type { ControlAction, ControlEvent, PlatformRead } from './controlEvents.ts'
import type { ControlStatus, ExchangeAnswer, ExchangeRequest, PushRequest } from './controlMessages.ts'
import { joinBeats } from './beats.ts'
import { ExchangePlan } from './exchangePlan.ts'
import { GossipPlan } from './gossipPlan.ts'
import { Join } from './joinSteps.ts'
import { listAvoided } from './listAvoided.ts'
import { LoadPlan } from './loadPlan.ts'
import { DEFAULT_NODE_OPTIONS } from './nodeOptions.ts'
import type { NodeOptions } from './nodeOptions.ts'
import type { NodeSetup } from './nodeSetup.ts'
import { planPushes } from './planPushes.ts'
import { PlatformPlan } from './platformPlan.ts'
import { SummaryPlan } from './summaryPlan.ts'

const SNAPSHOT_LOST_AFTER_MS = 5_000

/** Time after a new revision in which summaries travel with every exchange, since operators wait for it to be in force. */
const HOT_MS = 4_000

/** Decisions of one VM's control: events in, actions out. Opens nothing. */
export class ControlNode {
  readonly vms: VmMembership
  readonly endpoints = new EndpointMembership()
  readonly centres: DataCentreDirectory
  readonly replica = new ResourceReplica()
  readonly join: Join
  readonly #options: NodeOptions
  readonly #gossip: GossipPlan
  readonly #platform: PlatformPlan
  readonly #loads: LoadPlan
  readonly #summary: SummaryPlan
  readonly #exchanges: ExchangePlan
  #listed: VmListEntry[] = []
  #ticks = 0
  #newestHeard: Revision = 0
  #snapshotAskedAtMs = -Infinity
  #downBefore = ''
  #hotUntilMs = 0

  constructor (setup: NodeSetup) {
    this.#options = setup.options ?? DEFAULT_NODE_OPTIONS
    this.vms = new VmMembership(setup.self, setup.drawIncarnation, setup.membership)
    this.centres = new DataCentreDirectory(setup.self.dataCentre)
    this.#exchanges = new ExchangePlan(this.vms, this.centres, this.replica)
    this.join = new Join(this.#options.joinWaitMs)
    this.#gossip = new GossipPlan(this.#options, setup.rng, setup.seeds)
    this.#platform = new PlatformPlan(this.#options, setup.rng)
    this.#summary = new SummaryPlan(this.#options.summaryTicks * this.#options.tickMs)
    this.#loads = new LoadPlan(this.endpoints, this.#options.loadTicks)
  }

  /** Whether the VM may serve. */
  get isReady (): boolean {
    return this.join.isReady && this.replica.snapshot.revision > 0 && !this.vms.isSuperseded
  }

  /** Takes an event. */
  take (event: ControlEvent): ControlAction[] {
    return match<ControlEvent, ControlAction[]>(event)
      .with({ type: 'tick' }, () => this.#tick())
      .with({ type: 'answered' }, ({ url, answer }) => this.#takeAnswer(url, answer))
      .with({ type: 'unanswered' }, ({ url }) => this.#noteUnanswered(url))
      .with({ type: 'pushed' }, ({ push }) => this.#takePush(push))
      .with({ type: 'snapshotRead' }, ({ snapshot }) => this.#growBy(false, () => this.replica.takeSnapshot(snapshot)))
      .with({ type: 'platformRead' }, ({ read }) => this.#takePlatform(read))
      .with({ type: 'platformSilent' }, () => this.#noteSilentPlatform())
      .with({ type: 'loadRead' }, ({ load }) => this.#noteLoad(() => this.endpoints.recordLoad(this.vms.self, load)))
      .with({ type: 'loadSilent' }, ({ endpoint, isRefused }) => this.#noteLoad(() => this.endpoints.recordUnansweredPoll(endpoint, isRefused)))
      .with({ type: 'routerAcked' }, ({ revision }) => this.#noteAck(revision))
      .with({ type: 'observed' }, ({ endpoint, outcome }) => this.endpoints.recordOutcome(endpoint, outcome) ? this.#pushRouter() : [])
      .with({ type: 'stopped' }, () => this.#leave())
      .exhaustive()
  }

  /** Answers a peer. */
  answerExchange (request: ExchangeRequest): PeerAnswer {
    return answerExchange({ vms: this.vms, centres: this.centres, replica: this.replica, exchanges: this.#exchanges }, request)
  }

  /** Answers a watch. */
  answerChanges (after: Revision): ChangesAnswer {
    const { snapshot } = this.replica
    const changes = this.replica.listChangesAfter(after)
    return { revision: snapshot.revision, changes, snapshot: changes === null ? snapshot : null }
  }

  /** Endpoints of the data centre, as this VM knows them. */
  listEndpoints (): EndpointView[] {
    return this.endpoints.listEndpoints(this.vms.self, this.vms.listReporters())
  }

  /** What the router gets. */
  buildRouterSnapshot (): RouterSnapshot {
    const resources = this.replica.snapshot
    return {
      resources,
      vms: this.listVms(),
      endpoints: this.listEndpoints(),
      avoided: listAvoided(this.centres.listOthers(), resources.resources)
    }
  }

  /** What the local admin gets. */
  buildStatus (): ControlStatus {
    return { ...this.buildRouterSnapshot(), isReady: this.isReady }
  }

  #tick (): ControlAction[] {
    this.#ticks++
    const noted = this.vms.tick().flatMap(event => this.#noteOwn(event))
    if (this.vms.isSuperseded) return noted
    this.join.tick()
    this.endpoints.updateDown(this.vms.self)
    return [...noted, ...this.#askPlatform(), ...this.#exchangeNear(), ...this.#exchangeFar(), ...this.#askLoads(), ...this.#pushRouterSometimes()]
  }

  #noteOwn (event: MembershipEvent): ControlAction[] {
    this.#exchanges.reset()
    this.#platform.wake()
    return match<MembershipEvent, ControlAction[]>(event)
      .with({ type: 'reincarnated' }, ({ former, incarnation }) => [{ type: 'log', message: `Goes on as ${incarnation}; ${former} was dead for others or paused too long.` }])
      .with({ type: 'superseded' }, ({ by }) => [{ type: 'log', message: `Stops: ${by} runs under the same name.` }])
      .exhaustive()
  }

  #askPlatform (): ControlAction[] {
    const look = this.#platform.find(this.vms, !this.join.isReady)
    return look === null ? [] : [{ type: 'readPlatform', after: this.replica.snapshot.revision, withList: look.withList }]
  }

  #exchangeNear (): ControlAction[] {
    if (this.join.step.type === 'announcing') return []
    const url = this.#gossip.choosePeer(this.vms, this.#listed)
    return url === null ? [] : [this.#exchanges.buildNear(url, this.#isTurn(this.#options.centreTicks))]
  }

  #exchangeFar (): ControlAction[] {
    if (!this.#gossip.isGateway(this.vms)) return []
    this.#summary.write(this.vms, this.endpoints, this.centres)
    if (!this.#isTurn(this.#options.gatewayTicks)) return []
    const url = this.#gossip.chooseRemote(this.vms, this.centres, this.#listed)
    if (url === null) return []
    return [this.#exchanges.buildFar(url)]
  }

  #isTurn (everyTicks: number): boolean {
    return this.#ticks % everyTicks === 0 || performance.now() < this.#hotUntilMs
  }

  #askLoads (): ControlAction[] {
    const due = this.#loads.listDue(this.vms, this.#ticks)
    return due.map(({ endpoint, url }) => ({ type: 'readLoad', endpoint, url }))
  }

  #pushRouterSometimes (): ControlAction[] {
    const down = this.vms.self.endpointStatus.down.value.join()
    const isUrgent = down !== this.#downBefore
    this.#downBefore = down
    return isUrgent || this.#ticks % this.#options.routerTicks === 0 ? this.#pushRouter() : []
  }

  #pushRouter (): ControlAction[] {
    return this.isReady ? [{ type: 'pushRouter' }] : []
  }

  #takeAnswer (url: string, answer: ExchangeAnswer): ControlAction[] {
    if (answer.knows !== undefined) this.#exchanges.note(url, answer.knows)
    this.vms.applyDeltas(joinBeats(answer.deltas ?? [], answer.beats ?? {}))
    if (answer.centres) this.centres.applyDeltas(answer.centres)
    this.#newestHeard = Math.max(this.#newestHeard, answer.revision)
    const actions = this.#growBy(false, () => this.replica.takeChanges(answer.changes ?? []))
    this.join.takeAnswer(url, true)
    return [...actions, ...this.#askSnapshot(url, answer.revision)]
  }

  #noteUnanswered (url: string): ControlAction[] {
    this.#exchanges.note(url, false)
    this.join.takeAnswer(url, false)
    return []
  }

  #takePush (push: PushRequest): ControlAction[] {
    const actions = this.#growBy(false, () => this.replica.takeChanges(push.changes ?? []))
    const isBehind = this.replica.snapshot.revision < push.revision
    return isBehind ? [...actions, this.#exchanges.buildBehind(push.from)] : actions
  }

  #takePlatform (read: PlatformRead): ControlAction[] {
    this.#platform.takeEnd(true)
    this.vms.setPlatformReachable(true)
    if (read.list) this.#listed = read.list
    const actions = this.#growBy(true, () => {
      const isGrown = read.changes !== null && this.replica.takeChanges(read.changes)
      return (read.snapshot !== null && this.replica.takeSnapshot(read.snapshot)) || isGrown
    })
    const { step } = this.join
    if (step.type === 'looking') return [...actions, ...this.#announce()]
    if (step.type === 'checking' && this.replica.snapshot.revision >= read.revision) this.join.finish()
    return [...actions, ...this.#pushRouter()]
  }

  #noteSilentPlatform (): ControlAction[] {
    this.#platform.takeEnd(false)
    this.vms.setPlatformReachable(false)
    const { step } = this.join
    const { revision } = this.replica.snapshot
    const hasPeers = this.vms.listLive().length > 1 || this.#newestHeard > 0
    if (step.type === 'looking' && hasPeers) return this.#announce()
    if (step.type === 'checking' && revision > 0 && revision >= this.#newestHeard) this.join.finish()
    return this.#pushRouter()
  }

  #announce (): ControlAction[] {
    const urls = this.#gossip.listPeers(this.vms, this.#listed)
    this.join.announce(urls)
    return urls.map(url => this.#exchanges.buildNear(url, false))
  }

  #noteLoad (take: () => void): ControlAction[] {
    take()
    return []
  }

  #noteAck (revision: Revision): ControlAction[] {
    this.vms.setAppliedRevision(revision)
    return []
  }

  #leave (): ControlAction[] {
    this.vms.setLeaving()
    const { incarnationOrder: order } = this.vms.self
    const urls = this.#gossip.listPeers(this.vms, [])
    this.#exchanges.reset()
    return [{ type: 'log', message: `Leaves as order ${order}.` }, ...urls.map(url => this.#exchanges.buildNear(url, false))]
  }

  /** Runs a step that may bring a newer revision, and passes what it brought on. */
  #growBy (isFromPlatform: boolean, step: () => boolean): ControlAction[] {
    const before = this.replica.snapshot.revision
    if (!step()) return []
    this.#snapshotAskedAtMs = -Infinity
    this.#hotUntilMs = performance.now() + HOT_MS
    this.#loads.takeResources(this.replica.snapshot, this.vms.self.view.dataCentre)
    const pushes = planPushes({ vms: this.vms, replica: this.replica, caller: this.#exchanges.caller, before, isFromPlatform, fanOut: this.#options.fanOut })
    return [...pushes, ...this.#pushRouter()]
  }

  #askSnapshot (url: string, revision: Revision): ControlAction[] {
    const isKnown = revision <= this.replica.snapshot.revision
    if (isKnown || performance.now() - this.#snapshotAskedAtMs < SNAPSHOT_LOST_AFTER_MS) return []
    this.#snapshotAskedAtMs = performance.now()
    return [{ type: 'readSnapshot', url }]
  }

  /** All VMs that this one knows. */
  listVms (): VmView[] {
    return [...this.vms.listVms(), ...this.centres.listOtherVms()]
  }
}
