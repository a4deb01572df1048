import type { LedgerHandover, OrderPeers, OrderReply, TicketQuery } from 'knapweedshunt-orders'
import { createRpcClient, RpcError } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { Incarnation, VmView } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { CallerRequest } from '../callerRequest.ts'
import { buildForwarded } from './forwardedOrder.ts'
import type { ForwardedStatus } from './forwardedOrder.ts'

/** Peers that may hold a closed book. */
const BOOK_PEERS = 2
/** Over the longest deadline of a forwarded order. */
const FORWARD_TIMEOUT_MS = 600_000
const BOOK_TIMEOUT_MS = 500

/** Peer routers by JSON-RPC. */
export class RpcOrderPeers implements OrderPeers {
  readonly #sharedKey: string
  readonly #getPeerUrl: () => string
  readonly #clients = new Map<string, RpcClient>()
  #vms: VmView[] = []

  constructor (sharedKey: string, getPeerUrl: () => string) {
    this.#sharedKey = sharedKey
    this.#getPeerUrl = getPeerUrl
  }

  /** Takes the VM list of a snapshot. */
  takeVms (vms: VmView[]): void {
    this.#vms = vms
  }

  /** Runs a ticket on its minter. Throws RpcError. */
  async runTicket (url: string, request: CallerRequest): Promise<OrderReply> {
    return await this.#open(url, FORWARD_TIMEOUT_MS).call('router.runTicket', buildForwarded(request)) as OrderReply
  }

  /** Asks the minter what became of a ticket. Throws RpcError. */
  async readTicket (url: string, status: ForwardedStatus): Promise<OrderReply> {
    return await this.#open(url, BOOK_TIMEOUT_MS).call('router.readTicket', status) as OrderReply
  }

  async sendHandover (handover: LedgerHandover): Promise<boolean> {
    for (const url of this.#rankUrls(handover.book.minter)) {
      if (await this.#tryCall(url, 'router.takeBook', handover) !== null) return true
    }
    return false
  }

  async findTicket (query: TicketQuery): Promise<OrderReply | null> {
    for (const url of this.#rankUrls(query.minter)) {
      const answer = await this.#tryCall(url, 'router.findTicket', query) as { reply: OrderReply | null } | null
      if (answer !== null && answer.reply !== null) return answer.reply
    }
    return null
  }

  close (): void {
    for (const client of this.#clients.values()) client.close()
  }

  /** The same few VMs for a minter from every VM's view. */
  #rankUrls (minter: Incarnation): string[] {
    return this.#vms
      .filter(vm => vm.state === 'live' && vm.routerUrl !== this.#getPeerUrl())
      .map(vm => ({ url: vm.routerUrl, score: hashText(minter, vm.vm) }))
      .sort((a, b) => a.score < b.score ? -1 : 1)
      .slice(0, BOOK_PEERS)
      .map(({ url }) => url)
  }

  async #tryCall (url: string, method: string, params: unknown): Promise<unknown> {
    try {
      return await this.#open(url, BOOK_TIMEOUT_MS).call(method, params)
    } catch (error) {
      if (error instanceof RpcError) return null
      throw error
    }
  }

  #open (url: string, timeoutMs: number): RpcClient {
    const name = `${url} ${timeoutMs}`
    const client = this.#clients.get(name) ?? createRpcClient({ url, sharedKey: this.#sharedKey, timeoutMs })
    this.#clients.set(name, client)
    return client
  }
}
