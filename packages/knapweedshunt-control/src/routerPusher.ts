import type { Logger } from 'knapweedshunt-logger'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { Revision, RouterViews } from 'knapweedshunt-types'
import type { RouterAck } from './controlMessages.ts'
import type { ControlNode } from './controlNode.ts'

/** Time for which whole snapshots are handed over after views failed, in milliseconds. */
const VIEWS_FAILED_MS = 30_000

/** Hands what control knows to the local router: views when the router has the resources, else everything. One call at a time. */
export class RouterFeed {
  readonly #node: ControlNode
  readonly #router: RpcClient
  readonly #log: Logger
  #routerRevision: Revision = 0
  #viewsFailedAtMs: number | null = null
  #isBusy = false
  #isWanted = false

  constructor (node: ControlNode, router: RpcClient, log: Logger) {
    this.#node = node
    this.#router = router
    this.#log = log
  }

  /** Hands over the present state; while a call runs, the newest state follows it. */
  async push (): Promise<void> {
    this.#isWanted = true
    if (this.#isBusy) return
    this.#isBusy = true
    while (this.#isWanted) {
      this.#isWanted = false
      await this.#pushOnce()
    }
    this.#isBusy = false
  }

  async #pushOnce (): Promise<void> {
    const { resources, ...views } = this.#node.buildRouterSnapshot()
    const withViews = this.#routerRevision === resources.revision && !this.#isViewsFailed()
    const news: RouterViews = { revision: resources.revision, ...views }
    try {
      const answer = withViews ? await this.#router.call('router.views', news) : await this.#router.call('router.snapshot', { resources, ...views })
      this.#routerRevision = (answer as RouterAck).appliedRevision
      this.#node.take({ type: 'routerAcked', revision: this.#routerRevision })
    } catch (error) {
      this.#routerRevision = 0
      if (withViews) this.#viewsFailedAtMs = performance.now()
      if (withViews) this.#isWanted = true
      else this.#log.warn('Router not reached.', { reason: (error as Error).message })
    }
  }

  #isViewsFailed (): boolean {
    return this.#viewsFailedAtMs !== null && performance.now() - this.#viewsFailedAtMs < VIEWS_FAILED_MS
  }
}
