import { RelaySelector } from 'knapweedshunt-membership'
import type { PoolReach, ReachReport } from 'knapweedshunt-membership'
import type { DataCentreId, PoolName, VmId } from 'knapweedshunt-types'
import { groupBy, runEvery } from 'knapweedshunt-utils'
import type { EndpointRegistry } from '../endpoints/endpointRegistry.ts'
import type { DecisionLog } from '../records/decisionLog.ts'
import type { PeerView } from './peerAddress.ts'
import { reachReportSchema } from './reachMessages.ts'

/** Interval of the checks whether other VMs must be asked, in milliseconds. */
const CHECK_INTERVAL_MS = 50

/** Interval between two questions to the other VMs while this VM reaches few endpoints, in milliseconds. */
const POLL_INTERVAL_MS = 500

/** How a request gets to an endpoint of its pool. */
export type RelayRoute =
  | { type: 'direct' }
  | { type: 'relay', peer: PeerView }
  | { type: 'unreached' }

/** Dependencies of {@link EndpointRelays}. */
export interface EndpointRelaysDependencies {
  dataCentre: DataCentreId
  endpointRegistry: EndpointRegistry
  decisionLog: DecisionLog
  listPeers (): PeerView[]
  call (view: PeerView, method: string, params: unknown): Promise<unknown>
  /** Number of requests of other VMs that this one serves. */
  countRelayed (): number
}

/** Other VMs through which this one serves while it reaches few endpoints of a pool. They are asked only while it does. */
export class EndpointRelays {
  readonly #dependencies: EndpointRelaysDependencies
  readonly #selector: RelaySelector
  #poll: Promise<void> | null = null
  #polledAtMs = -Infinity

  constructor (dependencies: EndpointRelaysDependencies) {
    this.#dependencies = dependencies
    this.#selector = new RelaySelector(dependencies.dataCentre)
  }

  /** Asks the other VMs while needed, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    await runEvery(CHECK_INTERVAL_MS, signal, () => {
      if (performance.now() - this.#polledAtMs >= POLL_INTERVAL_MS && this.#listReaches().some(reach => this.#selector.needsReports(reach))) this.#startPoll()
    })
  }

  /** Whether this VM reaches no endpoint of a pool that has some. */
  isCutOff (pool: PoolName): boolean {
    const { reached, known } = this.#computeReach(pool)
    return known > 0 && reached === 0
  }

  /** Whether another VM reaches at least twice as many endpoints of some pool. */
  get isOutreached (): boolean {
    return this.#listReaches().some(reach => this.#selector.select(reach, []).type === 'relay')
  }

  /** Selects how a request gets to an endpoint; `avoided` VMs were tried before. Waits for the first answers of the other VMs. */
  async select (pool: PoolName, avoided: VmId[]): Promise<RelayRoute> {
    const reach = this.#computeReach(pool)
    if (!this.#selector.needsReports(reach)) return { type: 'direct' }
    if (performance.now() - this.#polledAtMs >= POLL_INTERVAL_MS * 2) this.#startPoll()
    const decision = this.#selector.select(reach, avoided)
    if (decision.type !== 'relay' && this.#poll !== null) {
      await this.#poll
      return this.#findPeer(this.#selector.select(this.#computeReach(pool), avoided))
    }
    return this.#findPeer(decision)
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
    this.#dependencies.decisionLog.record({ type: 'relayFailed', vm, reason })
  }

  /** Handles `endpoints.reach`. */
  handleReach (): ReachReport {
    return { pools: this.#listReaches(), relayedCount: this.#dependencies.countRelayed() }
  }

  #findPeer (decision: ReturnType<RelaySelector['select']>): RelayRoute {
    if (decision.type !== 'relay') return decision
    const peer = this.#dependencies.listPeers().find(({ vm }) => vm === decision.vm)
    return peer === undefined ? { type: 'direct' } : { type: 'relay', peer }
  }

  #startPoll (): void {
    this.#polledAtMs = performance.now()
    const peers = this.#dependencies.listPeers()
    this.#selector.applyVms(peers)
    const poll = Promise.all(peers.map(peer => this.#ask(peer))).then(() => { if (this.#poll === poll) this.#poll = null })
    this.#poll = poll
  }

  async #ask (peer: PeerView): Promise<void> {
    try {
      this.#selector.applyReport(peer.vm, reachReportSchema.parse(await this.#dependencies.call(peer, 'endpoints.reach', {})))
    } catch (error) {
      this.#selector.applyReport(peer.vm, null)
      this.#dependencies.decisionLog.record({ type: 'relayFailed', vm: peer.vm, reason: (error as Error).message })
    }
  }

  #listReaches (): PoolReach[] {
    return [...groupBy(this.#dependencies.endpointRegistry.list(), ({ entry }) => entry.pool).keys()].map(pool => this.#computeReach(pool))
  }

  #computeReach (pool: PoolName): PoolReach {
    const active = this.#dependencies.endpointRegistry.list(pool).filter(({ isDraining }) => !isDraining)
    return { pool, reached: active.filter(({ isReached }) => isReached).length, known: active.length }
  }
}
