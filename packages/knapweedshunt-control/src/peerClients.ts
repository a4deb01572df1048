import { createRpcClient } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'

const CALL_TIMEOUT_MS = 1_000

/** RPC clients of peers and the local router, one per URL, each created on first use. */
export class PeerClients {
  readonly #sharedKey: string
  readonly #clients = new Map<string, RpcClient>()

  constructor (sharedKey: string) {
    this.#sharedKey = sharedKey
  }

  /** Returns the client of a URL; creates it if there is none. */
  getOrOpen (url: string): RpcClient {
    const known = this.#clients.get(url)
    if (known) return known
    const client = createRpcClient({ url, sharedKey: this.#sharedKey, timeoutMs: CALL_TIMEOUT_MS })
    this.#clients.set(url, client)
    return client
  }

  /** Closes and removes all clients. */
  close (): void {
    for (const client of this.#clients.values()) client.close()
    this.#clients.clear()
  }
}
