import type { DataCentreId, PoolName, VmId } from 'knapweedshunt-types'
import { runEvery } from 'knapweedshunt-utils'
import type { PoolReach } from './poolReach.ts'
import { reachReportSchema } from './reachMessages.ts'
import type { ReachReport } from './reachReport.ts'
import type { RelayPeer } from './relayPeer.ts'
import type { RelayRoute } from './relayRoute.ts'
import { RelaySelector } from './relaySelector.ts'
import type { RelayDecision } from './relaySelector.ts'

/** Interval of the checks whether other VMs must be asked, in milliseconds. */
const CHECK_INTERVAL_MS = 50

/** Interval between two questions to the other VMs while this VM reaches few endpoints, in milliseconds. */
const POLL_INTERVAL_MS = 500

/** Dependencies of {@link EndpointRelays}. */
export interface EndpointRelaysDependencies<Peer extends RelayPeer> {
  dataCentre: DataCentreId
  listReaches (): PoolReach[]
  computeReach (pool: PoolName): PoolReach
  listPeers (): Peer[]
  /** Asks another VM for its {@link ReachReport}. */
  askReach (peer: Peer): Promise<unknown>
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

  constructor (dependencies: EndpointRelaysDependencies<Peer>) {
    this.#dependencies = dependencies
    this.#selector = new RelaySelector(dependencies.dataCentre)
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
    return this.#findPeer(decision.type === 'relay' || this.#poll === null ? decision : await this.#awaitDecision(pool, avoided, this.#poll))
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

  /** Handles `endpoints.reach`. */
  handleReach (): ReachReport {
    return { pools: this.#dependencies.listReaches(), relayedCount: this.#dependencies.countRelayed() }
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
    const poll = Promise.all(peers.map(peer => this.#ask(peer))).then(() => { if (this.#poll === poll) this.#poll = null })
    this.#poll = poll
  }

  async #ask (peer: Peer): Promise<void> {
    try {
      this.#selector.applyReport(peer.vm, reachReportSchema.parse(await this.#dependencies.askReach(peer)))
    } catch (error) {
      this.#selector.applyReport(peer.vm, null)
      this.#dependencies.onFailed(peer.vm, (error as Error).message)
    }
    for (const listener of this.#listeners) listener()
  }
}
