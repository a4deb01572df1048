import { DEFAULT_ORDER_OPTIONS, ORDER_TRANSITION_TABLE, OrderService, TableSweeper } from 'knapweedshunt-orders'
import type { OrderOptions } from 'knapweedshunt-orders'
import type { Platform } from 'knapweedshunt-platform'
import type { EndpointName, Incarnation, RouterSnapshot } from 'knapweedshunt-types'
import { runEvery } from 'knapweedshunt-utils'
import { RpcOrderPeers } from './rpcOrderPeers.ts'

const SWEEP_INTERVAL_MS = 30_000

/** What the orders of a router need. */
export interface RouterOrdersOptions {
  incarnation: Incarnation
  platform: Platform
  sharedKey: string
  getPeerUrl (): string
}

/** Orders of one router with their connections. */
export class RouterOrders {
  readonly service: OrderService
  readonly peers: RpcOrderPeers
  readonly #bounds: OrderOptions
  readonly #keyCheckers = new Set<EndpointName>()
  readonly #stopping = new AbortController()

  constructor (options: RouterOrdersOptions) {
    const { incarnation, platform, sharedKey, getPeerUrl } = options
    this.#bounds = { ...DEFAULT_ORDER_OPTIONS, seed: parseInt(incarnation.slice(0, 7), 16) }
    this.peers = new RpcOrderPeers(sharedKey, getPeerUrl)
    this.service = new OrderService({ incarnation, getPeerUrl, platform, sharedKey, peers: this.peers, bounds: this.#bounds, table: ORDER_TRANSITION_TABLE })
    const sweeper = new TableSweeper(platform, this.#bounds)
    runEvery(SWEEP_INTERVAL_MS, this.#stopping.signal, () => sweeper.sweepPage())
  }

  /** Longest answer that is kept, in characters. */
  get maxAnswerChars (): number {
    return this.#bounds.maxAnswerChars
  }

  /** Whether the endpoint runs a call at most once per key. */
  checksKeys (endpoint: EndpointName): boolean {
    return this.#keyCheckers.has(endpoint)
  }

  /** Takes endpoints and VMs. */
  takeSnapshot (snapshot: RouterSnapshot): void {
    this.peers.takeVms(snapshot.vms)
    this.#keyCheckers.clear()
    for (const resource of snapshot.resources.resources) {
      if (resource.kind === 'Endpoint' && resource.spec.checksIdempotencyKeys) this.#keyCheckers.add(resource.name)
    }
  }

  /** Waits for running orders and passes on what is settled. */
  async close (): Promise<void> {
    this.#stopping.abort()
    await this.service.close()
    this.peers.close()
  }
}
