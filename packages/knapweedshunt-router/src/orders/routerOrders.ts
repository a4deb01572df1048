import { DEFAULT_ORDER_OPTIONS, ORDER_TRANSITION_TABLE, OrderService, TableSweeper } from 'knapweedshunt-orders'
import type { OrderOptions } from 'knapweedshunt-orders'
import type { Platform } from 'knapweedshunt-platform'
import type { EndpointName, Incarnation, RouterSnapshot } from 'knapweedshunt-types'
import { runEvery } from 'knapweedshunt-utils'
import { RpcOrderPeers } from './rpcOrderPeers.ts'

const SWEEP_INTERVAL_MS = 30_000

/** Dependencies of {@link RouterOrders}. */
export interface RouterOrdersOptions {
  incarnation: Incarnation
  platform: Platform
  sharedKey: string
  getPeerUrl (): string
}

/** Order service of one router with its peer connections and the periodic sweep of expired rows. */
export class RouterOrders {
  readonly service: OrderService
  readonly peers: RpcOrderPeers
  readonly #orderOptions: OrderOptions
  readonly #deduplicatingEndpoints = new Set<EndpointName>()
  readonly #shutdown = new AbortController()

  constructor (options: RouterOrdersOptions) {
    const { incarnation, platform, sharedKey, getPeerUrl } = options
    this.#orderOptions = { ...DEFAULT_ORDER_OPTIONS, seed: parseInt(incarnation.slice(0, 7), 16) }
    this.peers = new RpcOrderPeers(sharedKey, getPeerUrl)
    this.service = new OrderService({ incarnation, getPeerUrl, platform, sharedKey, peers: this.peers, bounds: this.#orderOptions, table: ORDER_TRANSITION_TABLE })
    const sweeper = new TableSweeper(platform, this.#orderOptions)
    runEvery(SWEEP_INTERVAL_MS, this.#shutdown.signal, () => sweeper.sweepPage())
  }

  /** Longest answer that is recorded, in characters. */
  get maxAnswerChars (): number {
    return this.#orderOptions.maxAnswerChars
  }

  /** Whether the endpoint runs a call at most once per idempotency key. */
  hasKeyDeduplication (endpoint: EndpointName): boolean {
    return this.#deduplicatingEndpoints.has(endpoint)
  }

  /** Applies a snapshot: updates the peer VMs and the set of endpoints that check idempotency keys. */
  applySnapshot (snapshot: RouterSnapshot): void {
    this.peers.applyVms(snapshot.vms)
    this.#deduplicatingEndpoints.clear()
    for (const resource of snapshot.resources.resources) {
      if (resource.kind === 'Endpoint' && resource.spec.checksIdempotencyKeys) this.#deduplicatingEndpoints.add(resource.name)
    }
  }

  /** Stops the sweep, waits for running orders, hands over unwritten outcomes to a peer and closes the connections. */
  async close (): Promise<void> {
    this.#shutdown.abort()
    await this.service.close()
    this.peers.close()
  }
}
