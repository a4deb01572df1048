import http from 'node:http'
import { createRpcHandler } from 'knapweedshunt-rpc'
import type { RpcMethods } from 'knapweedshunt-rpc'
import { closeServer, createIncarnation, listen } from 'knapweedshunt-utils'
import type { ListenAddress } from '../ports/vmSettings.ts'
import type { PeerAddress } from './peerAddress.ts'

/** Serves the calls of the other VMs. The key that they must send is drawn at each start; they read it from this VM's row. */
export class PeerServer {
  readonly #key = createIncarnation() + createIncarnation()
  readonly #server: http.Server

  constructor (methods: RpcMethods) {
    const handle = createRpcHandler(methods, this.#key)
    this.#server = http.createServer((request, response) => { handle(request, response).catch(() => response.destroy()) })
  }

  /** Starts to listen; resolves to the address for the other VMs. */
  async start (address: ListenAddress): Promise<PeerAddress> {
    return { url: await listen(this.#server, address), key: this.#key }
  }

  /** Closes the server and its connections at once. */
  async close (): Promise<void> {
    if (!this.#server.listening) return
    this.#server.closeAllConnections()
    await closeServer(this.#server)
  }
}
