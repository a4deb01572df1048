import { createRpcClient } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'
import type { VmId } from 'knapweedshunt-types'
import type { BodyMemory } from 'knapweedshunt-utils'
import type { PeerView } from './peerAddress.ts'

/** Timeout of a call to another VM, in milliseconds; the network takes one or two. */
export const PEER_CALL_TIMEOUT_MS = 250

interface OpenClient {
  client: RpcClient
  view: PeerView
}

/** Clients of the other VMs, opened on their first call. */
export class PeerClients {
  readonly #clients = new Map<VmId, OpenClient>()
  readonly #timeoutMs: number
  readonly #memory: BodyMemory

  /** Responses share the memory until they are parsed; `timeoutMs` is the timeout of each call. */
  constructor (memory: BodyMemory, timeoutMs = PEER_CALL_TIMEOUT_MS) {
    this.#memory = memory
    this.#timeoutMs = timeoutMs
  }

  /** Calls a method of another VM. Throws RpcError. */
  async call (view: PeerView, method: string, params: unknown): Promise<unknown> {
    return await this.#getOrOpen(view).call(method, params)
  }

  /** Closes all connections. */
  close (): void {
    for (const { client } of this.#clients.values()) client.close()
    this.#clients.clear()
  }

  /** A VM that restarted has another address or key. */
  #getOrOpen (view: PeerView): RpcClient {
    const open = this.#clients.get(view.vm)
    if (open?.view.address.url === view.address.url && open.view.address.key === view.address.key) return open.client
    open?.client.close()
    const client = createRpcClient({ url: view.address.url, sharedKey: view.address.key, timeoutMs: this.#timeoutMs, memory: this.#memory })
    this.#clients.set(view.vm, { client, view })
    return client
  }
}
