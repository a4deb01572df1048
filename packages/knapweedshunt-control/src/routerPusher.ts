import type { Logger } from 'knapweedshunt-logger'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { Revision, RouterViews } from 'knapweedshunt-types'
import type { RouterAck } from './controlMessages.ts'
import type { ControlNode } from './controlNode.ts'

/** Time after a failed `router.views` call in which only whole snapshots are pushed. */
const VIEWS_RETRY_DELAY_MS = 30_000

/** Pushes the node's state to the local router: only the views while the router holds the current resources, else a whole snapshot. One call is in flight at a time. */
export class RouterPusher {
  readonly #node: ControlNode
  readonly #router: RpcClient
  readonly #log: Logger
  #routerRevision: Revision = 0
  #viewsFailedAtMs: number | null = null
  #isPushing = false
  #isPushPending = false

  constructor (node: ControlNode, router: RpcClient, log: Logger) {
    this.#node = node
    this.#router = router
    this.#log = log
  }

  /** Pushes the current state. If a call is in flight, the state at its end is pushed after it. */
  async push (): Promise<void> {
    this.#isPushPending = true
    if (this.#isPushing) return
    this.#isPushing = true
    while (this.#isPushPending) {
      this.#isPushPending = false
      await this.#pushOnce()
    }
    this.#isPushing = false
  }

  async #pushOnce (): Promise<void> {
    const { resources, ...views } = this.#node.buildRouterSnapshot()
    const withViews = this.#routerRevision === resources.revision && !this.#hasRecentViewsFailure()
    const viewsUpdate: RouterViews = { revision: resources.revision, ...views }
    try {
      const answer = withViews ? await this.#router.call('router.views', viewsUpdate) : await this.#router.call('router.snapshot', { resources, ...views })
      this.#routerRevision = (answer as RouterAck).appliedRevision
      this.#node.handleEvent({ type: 'routerAcked', revision: this.#routerRevision })
    } catch (error) {
      this.#routerRevision = 0
      if (withViews) this.#viewsFailedAtMs = performance.now()
      if (withViews) this.#isPushPending = true
      else this.#log.warn('Pushing the snapshot to the router failed.', { reason: (error as Error).message })
    }
  }

  #hasRecentViewsFailure (): boolean {
    return this.#viewsFailedAtMs !== null && performance.now() - this.#viewsFailedAtMs < VIEWS_RETRY_DELAY_MS
  }
}
