import type { LedgerHandover, OrderPeers, OrderReply, TicketQuery } from 'knapweedshunt-orders'
import { createRpcClient, RpcError } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { Incarnation, VmView } from 'knapweedshunt-types'
import { hashText } from 'knapweedshunt-utils'
import type { CallerRequest } from '../callerRequest.ts'
import { buildForwardedOrder } from './forwardedOrder.ts'
import type { ForwardedStatusQuery } from './forwardedOrder.ts'

/** Number of peers, by rank, that a handover is offered to and that are asked for it later. */
const HANDOVER_PEERS = 2
/** Longer than the longest deadline of a forwarded order. */
const FORWARD_TIMEOUT_MS = 600_000
const CALL_TIMEOUT_MS = 500

/** Calls peer routers over JSON-RPC to forward orders, read tickets and hand over ledgers. */
export class RpcOrderPeers implements OrderPeers {
  readonly #sharedKey: string
  readonly #getPeerUrl: () => string
  readonly #clients = new Map<string, RpcClient>()
  #vms: VmView[] = []

  constructor (sharedKey: string, getPeerUrl: () => string) {
    this.#sharedKey = sharedKey
    this.#getPeerUrl = getPeerUrl
  }

  /** Applies the VM list of a snapshot. Handovers go to live VMs of this list only. */
  applyVms (vms: VmView[]): void {
    this.#vms = vms
  }

  /** Forwards an order to the minter of its pinned ticket. Throws RpcError. */
  async runTicket (url: string, request: CallerRequest): Promise<OrderReply> {
    return await this.#getClient(url, FORWARD_TIMEOUT_MS).call('router.runTicket', buildForwardedOrder(request)) as OrderReply
  }

  /** Reads the status of an order from the minter of its ticket. Throws RpcError. */
  async readTicket (url: string, status: ForwardedStatusQuery): Promise<OrderReply> {
    return await this.#getClient(url, CALL_TIMEOUT_MS).call('router.readTicket', status) as OrderReply
  }

  async sendHandover (handover: LedgerHandover): Promise<boolean> {
    for (const url of this.#rankHandoverUrls(handover.book.minter)) {
      if (await this.#tryCall(url, 'router.takeBook', handover) !== null) return true
    }
    return false
  }

  async findTicket (query: TicketQuery): Promise<OrderReply | null> {
    for (const url of this.#rankHandoverUrls(query.minter)) {
      const response = await this.#tryCall(url, 'router.findTicket', query) as { reply: OrderReply | null } | null
      if (response !== null && response.reply !== null) return response.reply
    }
    return null
  }

  close (): void {
    for (const client of this.#clients.values()) client.close()
  }

  /** Ranks live VMs by rendezvous hashing on the minter, so that all VMs with the same VM list pick the same peers for it (a VM leaves out itself). */
  #rankHandoverUrls (minter: Incarnation): string[] {
    return this.#vms
      .filter(vm => vm.state === 'live' && vm.routerUrl !== this.#getPeerUrl())
      .map(vm => ({ url: vm.routerUrl, score: hashText(minter, vm.vm) }))
      .sort((a, b) => a.score < b.score ? -1 : 1)
      .slice(0, HANDOVER_PEERS)
      .map(({ url }) => url)
  }

  async #tryCall (url: string, method: string, params: unknown): Promise<unknown> {
    try {
      return await this.#getClient(url, CALL_TIMEOUT_MS).call(method, params)
    } catch (error) {
      if (error instanceof RpcError) return null
      throw error
    }
  }

  #getClient (url: string, timeoutMs: number): RpcClient {
    const clientKey = `${url} ${timeoutMs}`
    const client = this.#clients.get(clientKey) ?? createRpcClient({ url, sharedKey: this.#sharedKey, timeoutMs })
    this.#clients.set(clientKey, client)
    return client
  }
}
