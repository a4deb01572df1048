import { MemoryPlatform } from 'knapweedshunt-fakes'
import { OrderService } from 'knapweedshunt-orders'
import type { OrderOptions, OrderPeers, OrderTransitionTable } from 'knapweedshunt-orders'
import { DEFAULT_GUARDED_PLATFORM_OPTIONS, GuardedPlatform } from 'knapweedshunt-platform'
import type { Step } from './faults.ts'
import { runAsProcess } from './processTimers.ts'
import { SimLink } from './simLink.ts'

/** Dependencies of a {@link SimRouter}. */
export interface SimRouterOptions {
  /** Peer URL; stays the same when the process is replaced. */
  url: string
  incarnation: string
  memory: MemoryPlatform
  peers: OrderPeers
  bounds: OrderOptions
  table: OrderTransitionTable
  recordStep (step: Step, router: SimRouter): void
}

/** One incarnation of a simulated router, which can be paused or crash at any step. */
export class SimRouter {
  readonly url: string
  readonly incarnation: string
  readonly link: SimLink
  readonly #service: OrderService
  /** Names of the orders that this incarnation ran, or minted a pinned ticket for. */
  readonly orders = new Set<string>()
  isAlive = true
  isClosing = false
  pausedUntilMs = 0
  #crashListeners: Array<() => void> = []

  constructor (options: SimRouterOptions) {
    const { url, incarnation, memory, peers, bounds, table } = options
    this.url = url
    this.incarnation = incarnation
    this.link = new SimLink(memory, () => this.waitResumed(), step => options.recordStep(step, this))
    const platform = new GuardedPlatform(this.link, { ...DEFAULT_GUARDED_PLATFORM_OPTIONS, seed: bounds.seed })
    this.#service = runAsProcess(this, () => new OrderService({ incarnation, getPeerUrl: () => url, platform, sharedKey: 'shared', peers, bounds, table }))
  }

  /** Runs work as this process: its timers are suspended while the process is paused. */
  runInProcess<T> (work: (service: OrderService) => T): T {
    return runAsProcess(this, () => work(this.#service))
  }

  /** Whether the process is paused; an answer that arrives meanwhile may be handled after its deadline. */
  isPaused (): boolean {
    return performance.now() < this.pausedUntilMs
  }

  /** Resolves when the process is running; never resolves after it has ended. */
  async waitResumed (): Promise<void> {
    while (this.isPaused()) {
      await new Promise(resolve => setTimeout(resolve, this.pausedUntilMs - performance.now()))
    }
    if (!this.isAlive) await new Promise(() => {})
  }

  /** Ends the process: its timers no longer fire and its connections break. */
  crash (): void {
    this.isAlive = false
    for (const end of this.#crashListeners) end()
  }

  /** Returns the result of work on this router to a client of it; null when the connection broke. */
  watch<T> (work: Promise<T>): Promise<T | null> {
    const ended = new Promise<null>(resolve => { this.#crashListeners.push(() => resolve(null)) })
    const done = work.then(async result => {
      await this.waitResumed()
      return result
    })
    return Promise.race([done, ended])
  }
}
