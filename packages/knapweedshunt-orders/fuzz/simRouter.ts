import { MemoryPlatform } from 'knapweedshunt-fakes'
import { OrderService } from 'knapweedshunt-orders'
import type { OrderOptions, OrderPeers, OrderTable } from 'knapweedshunt-orders'
import { DEFAULT_GUARD_OPTIONS, GuardedPlatform } from 'knapweedshunt-platform'
import type { Step } from './faults.ts'
import { actAs } from './ownTimers.ts'
import { SimLink } from './simLink.ts'

/** What a router of a run is made of. */
export interface SimRouterOptions {
  /** Peer URL; stays when the process is replaced. */
  url: string
  incarnation: string
  memory: MemoryPlatform
  peers: OrderPeers
  bounds: OrderOptions
  table: OrderTable
  take (step: Step, router: SimRouter): void
}

/** One incarnation of a router, which can be paused or end at any moment. */
export class SimRouter {
  readonly url: string
  readonly incarnation: string
  readonly link: SimLink
  readonly #service: OrderService
  /** Names of the orders that this incarnation ran, or minted a pinned ticket for. */
  readonly orders = new Set<string>()
  alive = true
  closing = false
  pausedUntilMs = 0
  #endWaits: Array<() => void> = []

  constructor (options: SimRouterOptions) {
    const { url, incarnation, memory, peers, bounds, table } = options
    this.url = url
    this.incarnation = incarnation
    this.link = new SimLink(memory, () => this.waitAwake(), step => options.take(step, this))
    const platform = new GuardedPlatform(this.link, { ...DEFAULT_GUARD_OPTIONS, seed: bounds.seed })
    this.#service = actAs(this, () => new OrderService({ incarnation, peerUrl: () => url, platform, sharedKey: 'shared', peers, bounds, table }))
  }

  /** Runs work of this process: its timers stand still while it is paused. */
  act<T> (work: (service: OrderService) => T): T {
    return actAs(this, () => work(this.#service))
  }

  /** Whether the process stands still; an answer that waits meanwhile may be past its time. */
  isPaused (): boolean {
    return performance.now() < this.pausedUntilMs
  }

  /** Resolves when the process runs; never, once it has ended. */
  async waitAwake (): Promise<void> {
    while (this.isPaused()) {
      await new Promise(resolve => setTimeout(resolve, this.pausedUntilMs - performance.now()))
    }
    if (!this.alive) await new Promise(() => {})
  }

  /** Ends the process: nothing of it acts any more, and its connections break. */
  crash (): void {
    this.alive = false
    for (const end of this.#endWaits) end()
  }

  /** Result of work on this router for somebody outside; null when the connection broke. */
  watch<T> (work: Promise<T>): Promise<T | null> {
    const ended = new Promise<null>(resolve => { this.#endWaits.push(() => resolve(null)) })
    const done = work.then(async result => {
      await this.waitAwake()
      return result
    })
    return Promise.race([done, ended])
  }
}
