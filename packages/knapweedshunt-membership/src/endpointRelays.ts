import { randomInt } from 'node:crypto'
import type { DataCentreId, PoolName, VmId } from 'knapweedshunt-types'
import { groupBy, runEvery } from 'knapweedshunt-utils'
import type { LostEndpoint } from './lostEndpoint.ts'
import type { LostSummary } from './lostSummary.ts'
import type { PoolReach } from './poolReach.ts'
import { MAX_LOST_ENDPOINTS, reachParamsSchema, reachReportSchema } from './reachMessages.ts'
import type { ReachReport } from './reachReport.ts'
import type { RelayPeer } from './relayPeer.ts'
import type { RelayRoute } from './relayRoute.ts'
import { RelaySelector } from './relaySelector.ts'
import type { RelayDecision } from './relaySelector.ts'

/** Interval of the checks whether other VMs must be asked, in milliseconds. */
const CHECK_INTERVAL_MS = 50

/** Interval between two questions to other VMs while this VM reaches few endpoints, in milliseconds. */
const POLL_INTERVAL_MS = 500

/** Number of VMs of each data centre that are asked at a time. */
const ASKED_PER_DATA_CENTRE = 4

const MAX_FIRST_TURN = 1_000

/** Dependencies of {@link EndpointRelays}. */
export interface EndpointRelaysDependencies<Peer extends RelayPeer> {
  dataCentre: DataCentreId
  listReaches (): PoolReach[]
  computeReach (pool: PoolName): PoolReach
  listPeers (): Peer[]
  /** Lists endpoints that this VM does not reach, some of each pool. Without it VMs are compared by numbers. */
  listLost? (): LostEndpoint[]
  /** Summarizes what this VM knows of a pool's endpoints that another VM has lost. */
  summarizeLost? (lost: LostEndpoint[]): LostSummary
  /** Asks another VM for its {@link ReachReport}. */
  askReach (peer: Peer, lost: LostEndpoint[]): Promise<unknown>
  /** Number of requests of other VMs that this one serves. */
  countRelayed (): number
  onFailed (vm: VmId, reason: string): void
}

/** Other VMs through which this one serves while it reaches few endpoints of a pool. They are asked only while it does. */
export class EndpointRelays<Peer extends RelayPeer> {
  readonly #dependencies: EndpointRelaysDependencies<Peer>
  readonly #selector: RelaySelector
  /** Called after each answer of another VM. */
  readonly #listeners = new Set<() => void>()
  #poll: Promise<void> | null = null
  #polledAtMs = -Infinity
  /** Which VMs are asked next; VMs begin with different ones. */
  #turn: number

  constructor (dependencies: EndpointRelaysDependencies<Peer>) {
    this.#dependencies = dependencies
    this.#selector = new RelaySelector(dependencies.dataCentre)
    this.#turn = randomInt(MAX_FIRST_TURN)
  }

  /** Asks the other VMs while needed, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await runEvery(CHECK_INTERVAL_MS, signal, () => {
      if (performance.now() - this.#polledAtMs >= POLL_INTERVAL_MS && this.#dependencies.listReaches().some(reach => this.#selector.needsReports(reach))) this.#startPoll()
    })
  }

  /** Whether this VM reaches no endpoint of a pool that has some. */
  isCutOff (pool: PoolName): boolean {
    const { reached, known } = this.#dependencies.computeReach(pool)
    return known > 0 && reached === 0
  }

  /** Whether another VM reaches at least twice as many endpoints of some pool. */
  get isOutreached (): boolean {
    return this.#dependencies.listReaches().some(reach => this.#selector.select(reach, []).type === 'relay')
  }

  /** Whether this VM reaches so few endpoints of a pool that others may serve its requests. */
  needsRelay (pool: PoolName): boolean {
    return this.#selector.needsReports(this.#dependencies.computeReach(pool))
  }

  /** Selects how a request gets to an endpoint; `avoided` VMs were tried before. Waits until the answers of the other VMs allow a relay, or all have come. */
  async select (pool: PoolName, avoided: VmId[]): Promise<RelayRoute<Peer>> {
    const reach = this.#dependencies.computeReach(pool)
    if (!this.#selector.needsReports(reach)) return { type: 'direct' }
    if (performance.now() - this.#polledAtMs >= POLL_INTERVAL_MS * 2) this.#startPoll()
    const decision = this.#selector.select(reach, avoided)
    // A VM that reaches endpoints uses these while nobody has said that the others are its own loss.
    return this.#findPeer(decision.type === 'relay' || reach.reached > 0 || this.#poll === null ? decision : await this.#awaitDecision(pool, avoided, this.#poll))
  }

  /** Records the start of a request through another VM. */
  recordStart (vm: VmId): void {
    this.#selector.recordStart(vm)
  }

  /** Records the end of a request through another VM. */
  recordEnd (vm: VmId): void {
    this.#selector.recordEnd(vm)
  }

  /** Records that another VM failed a request or could not be sent one. */
  recordFailure (vm: VmId, reason: string): void {
    this.#selector.recordFailure(vm)
    this.#dependencies.onFailed(vm, reason)
  }

  /** Handles `endpoints.reach`. Throws ZodError on invalid params. */
  handleReach (params: unknown = {}): ReachReport {
    const { listReaches, countRelayed, summarizeLost } = this.#dependencies
    const lost = groupBy(reachParamsSchema.parse(params).lost, ({ pool }) => pool)
    const pools = listReaches().map(reach => {
      const asked = lost.get(reach.pool)
      return asked === undefined || summarizeLost === undefined ? reach : { ...reach, lost: summarizeLost(asked) }
    })
    return { pools, relayedCount: countRelayed() }
  }

  #findPeer (decision: RelayDecision): RelayRoute<Peer> {
    if (decision.type !== 'relay') return decision
    const peer = this.#dependencies.listPeers().find(({ vm }) => vm === decision.vm)
    return peer === undefined ? { type: 'direct' } : { type: 'relay', peer }
  }

  #awaitDecision (pool: PoolName, avoided: VmId[], poll: Promise<void>): Promise<RelayDecision> {
    const select = () => this.#selector.select(this.#dependencies.computeReach(pool), avoided)
    return new Promise(resolve => {
      const finish = (decision: RelayDecision) => {
        this.#listeners.delete(handleAnswer)
        resolve(decision)
      }
      const handleAnswer = () => {
        const decision = select()
        if (decision.type === 'relay') finish(decision)
      }
      this.#listeners.add(handleAnswer)
      poll.then(() => finish(select()))
    })
  }

  #startPoll (): void {
    this.#polledAtMs = performance.now()
    const peers = this.#dependencies.listPeers()
    this.#selector.applyVms(peers)
    const lost = (this.#dependencies.listLost?.() ?? []).slice(0, MAX_LOST_ENDPOINTS)
    const poll = Promise.all(this.#selectAsked(peers).map(peer => this.#ask(peer, lost))).then(() => { if (this.#poll === poll) this.#poll = null })
    this.#poll = poll
  }

  /** VMs of a data centre take turns, so that VMs which all lose endpoints at a time do not spend their processor time on each other's questions. */
  #selectAsked (peers: Peer[]): Peer[] {
    this.#turn++
    return [...groupBy(peers, ({ dataCentre }) => dataCentre).values()].flatMap(group => {
      if (group.length <= ASKED_PER_DATA_CENTRE) return group
      const first = this.#turn * ASKED_PER_DATA_CENTRE
      return Array.from({ length: ASKED_PER_DATA_CENTRE }, (_, n) => group[(first + n) % group.length])
    })
  }

  async #ask (peer: Peer, lost: LostEndpoint[]): Promise<void> {
    try {
      this.#selector.applyReport(peer.vm, reachReportSchema.parse(await this.#dependencies.askReach(peer, lost)))
    } catch (error) {
      this.#selector.applyReport(peer.vm, null)
      this.#dependencies.onFailed(peer.vm, (error as Error).message)
    }
    for (const listener of this.#listeners) listener()
  }
}
