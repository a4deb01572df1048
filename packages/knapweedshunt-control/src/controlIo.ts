import http from 'node:http'
import type { Logger } from 'knapweedshunt-logger'
import type { Platform } from 'knapweedshunt-platform'
import { ResourceStore } from 'knapweedshunt-resources'
import type { ResourceSnapshot } from 'knapweedshunt-types'
import { match } from 'ts-pattern'
import type { ControlAction, ControlEvent } from './controlEvents.ts'
import type { ExchangeAnswer, ExchangeRequest } from './controlMessages.ts'
import type { ControlNode } from './controlNode.ts'
import type { PeerClients } from './peerClients.ts'
import { readLoad } from './readLoad.ts'
import { readPlatform } from './readPlatform.ts'
import type { RouterFeed } from './routerFeed.ts'

/** What the actions are carried out with. */
export interface ControlIoOptions {
  node: ControlNode
  platform: Platform
  clients: PeerClients
  feed: RouterFeed
  log: Logger
}

/** Carries out a node's actions and brings back what came of them. Never throws. */
export class ControlIo {
  readonly #options: ControlIoOptions
  readonly #store: ResourceStore
  readonly #agent = new http.Agent({ keepAlive: true })

  constructor (options: ControlIoOptions) {
    this.#options = options
    this.#store = new ResourceStore(options.platform)
  }

  /** Gives the node an event and carries out what it wants; resolves when all of that is done. */
  async take (event: ControlEvent): Promise<void> {
    await this.run(this.#options.node.take(event))
  }

  /** Carries out actions without waiting for them, for calls that must be answered at once. */
  start (actions: ControlAction[]): void {
    this.run(actions).catch(error => this.#options.log.error('An action failed.', { reason: (error as Error).message }))
  }

  /** Carries out actions. */
  async run (actions: ControlAction[]): Promise<void> {
    await Promise.all(actions.map(action => this.#runOne(action)))
  }

  /** Closes the connections to endpoints. */
  close (): void {
    this.#agent.destroy()
  }

  #runOne (action: ControlAction): Promise<void> {
    return match<ControlAction, Promise<void>>(action)
      .with({ type: 'exchange' }, ({ url, request }) => this.#exchange(url, request))
      .with({ type: 'push' }, ({ url, push }) => this.#call(url, 'control.push', push, () => null))
      .with({ type: 'readSnapshot' }, ({ url }) => this.#call(url, 'control.snapshot', {}, answer => ({ type: 'snapshotRead', snapshot: answer as ResourceSnapshot })))
      .with({ type: 'readPlatform' }, ({ after, withList }) => this.#readPlatform(after, withList))
      .with({ type: 'readLoad' }, async ({ endpoint, url }) => this.take(await readLoad(endpoint, url, this.#agent)))
      .with({ type: 'pushRouter' }, () => this.#options.feed.push())
      .with({ type: 'log' }, async ({ message }) => this.#options.log.info(message))
      .exhaustive()
  }

  async #exchange (url: string, request: ExchangeRequest): Promise<void> {
    try {
      const answer = await this.#options.clients.open(url).call('control.exchange', request) as ExchangeAnswer
      await this.take({ type: 'answered', url, answer })
    } catch {
      // Silence is evidence enough: the membership judges by heartbeats.
      await this.take({ type: 'unanswered', url })
    }
  }

  async #call (url: string, method: string, params: unknown, convert: (answer: unknown) => ControlEvent | null): Promise<void> {
    try {
      const event = convert(await this.#options.clients.open(url).call(method, params))
      if (event !== null) await this.take(event)
    } catch {
      // The receiver hears of it through another peer.
    }
  }

  async #readPlatform (after: number, withList: boolean): Promise<void> {
    try {
      const read = await readPlatform(this.#options.platform, this.#store, after, withList)
      await this.take({ type: 'platformRead', read })
    } catch (error) {
      this.#options.log.warn('Platform not read.', { reason: (error as Error).message })
      await this.take({ type: 'platformSilent' })
    }
  }
}
