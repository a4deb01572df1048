import type { Logger } from 'knapweedshunt-logger'
import type { Platform } from 'knapweedshunt-platform'
import { DEFAULT_STORE_OPTIONS, ResourceStore } from 'knapweedshunt-resources'
import type { ResourceSnapshot } from 'knapweedshunt-types'
import { ResponseAgent } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { ControlAction, ControlEvent } from './controlEvents.ts'
import type { ExchangeAnswer, ExchangeRequest } from './controlMessages.ts'
import type { ControlNode } from './controlNode.ts'
import type { PeerClients } from './peerClients.ts'
import { readLoad } from './readLoad.ts'
import { readPlatform } from './readPlatform.ts'
import type { RouterPusher } from './routerPusher.ts'

/** Dependencies of {@link ControlIo}. */
export interface ControlIoOptions {
  node: ControlNode
  platform: Platform
  clients: PeerClients
  routerPusher: RouterPusher
  log: Logger
}

/** Performs the I/O of a node's actions and passes the results back to the node as events. Never throws: failed I/O becomes an event, is logged or is ignored. */
export class ControlIo {
  readonly #options: ControlIoOptions
  readonly #store: ResourceStore
  readonly #agent = new ResponseAgent({ keepAlive: true })

  constructor (options: ControlIoOptions) {
    this.#options = options
    this.#store = new ResourceStore(options.platform, DEFAULT_STORE_OPTIONS, (table, key, reason) => options.log.error('Row of the resources cannot be read and counts as missing.', { table, key, reason }))
  }

  /** Passes an event to the node and runs the resulting actions, including those that their results cause; resolves when all have ended. */
  async handleEvent (event: ControlEvent): Promise<void> {
    await this.run(this.#options.node.handleEvent(event))
  }

  /** Runs actions without awaiting them, for RPC methods that must answer at once. */
  runInBackground (actions: ControlAction[]): void {
    this.run(actions).catch(error => this.#options.log.error('Control action failed.', { reason: (error as Error).message }))
  }

  /** Runs actions concurrently; resolves when all have ended. */
  async run (actions: ControlAction[]): Promise<void> {
    await Promise.all(actions.map(action => this.#runAction(action)))
  }

  /** Closes the keep-alive connections to endpoints. */
  close (): void {
    this.#agent.destroy()
  }

  #runAction (action: ControlAction): Promise<void> {
    return match<ControlAction, Promise<void>>(action)
      .with({ type: 'exchange' }, ({ url, request }) => this.#exchange(url, request))
      .with({ type: 'push' }, ({ url, push }) => this.#call(url, 'control.push', push, () => null))
      .with({ type: 'readSnapshot' }, ({ url }) => this.#call(url, 'control.snapshot', {}, answer => ({ type: 'snapshotRead', snapshot: answer as ResourceSnapshot })))
      .with({ type: 'readPlatform' }, ({ after, withList }) => this.#readPlatform(after, withList))
      .with({ type: 'readLoad' }, async ({ endpoint, url }) => this.handleEvent(await readLoad(endpoint, url, this.#agent)))
      .with({ type: 'pushRouter' }, () => this.#options.routerPusher.push())
      .with({ type: 'log' }, async ({ message }) => this.#options.log.info(message))
      .exhaustive()
  }

  async #exchange (url: string, request: ExchangeRequest): Promise<void> {
    try {
      const answer = await this.#options.clients.getOrOpen(url).call('control.exchange', request) as ExchangeAnswer
      await this.handleEvent({ type: 'answered', url, answer })
    } catch {
      // The cause is not needed: the membership detects failures by missing heartbeats.
      await this.handleEvent({ type: 'unanswered', url })
    }
  }

  async #call (url: string, method: string, params: unknown, convert: (answer: unknown) => ControlEvent | null): Promise<void> {
    try {
      const event = convert(await this.#options.clients.getOrOpen(url).call(method, params))
      if (event !== null) await this.handleEvent(event)
    } catch {
      // No retry: the state reaches its receiver through exchanges with other peers.
    }
  }

  async #readPlatform (after: number, withList: boolean): Promise<void> {
    try {
      const read = await readPlatform(this.#options.platform, this.#store, after, withList)
      await this.handleEvent({ type: 'platformRead', read })
    } catch (error) {
      this.#options.log.warn('Reading the platform failed.', { reason: (error as Error).message })
      await this.handleEvent({ type: 'platformUnanswered' })
    }
  }
}
