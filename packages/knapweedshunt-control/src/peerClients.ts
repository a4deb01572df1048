import { createRpcClient } from 'knapweedshunt-rpc'
import type { RpcClient } from 'knapweedshunt-rpc'

const TIMEOUT_MS = 1_000

/** One client per URL, opened when first asked for. */
export class PeerClients {
  readonly #sharedKey: string
  readonly #clients = new Map<string, RpcClient>()

  constructor (sharedKey: string) {
    this.#sharedKey = sharedKey
  }

  /** Client of a URL. */
  open (url: string): RpcClient {
    const known = this.#clients.get(url)
    if (known) return known
    const client = createRpcClient({ url, sharedKey: this.#sharedKey, timeoutMs: TIMEOUT_MS })
    this.#clients.set(url, client)
    return client
  }

  /** Closes all connections. */
  close (): void {
    for (const client of this.#clients.values()) client.close()
    this.#clients.clear()
  }
}
