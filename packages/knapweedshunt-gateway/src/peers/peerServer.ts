import type http from 'node:http'
import { RELAY_HEADER } from 'knapweedshunt-membership'
import { createRpcHandler } from 'knapweedshunt-rpc'
import type { RpcMethods } from 'knapweedshunt-rpc'
import { createIncarnation, isSameSecret } from 'knapweedshunt-utils'
import { BoundedServer } from '../callers/boundedServer.ts'
import type { ServerBounds } from '../callers/boundedServer.ts'
import { MAX_READABLE_HEADER_BYTES } from '../callers/callerServer.ts'
import type { ListenAddress } from '../ports/vmSettings.ts'
import { buildRefusal } from './buildRefusal.ts'
import type { PeerAddress } from './peerAddress.ts'
import { buildRelayAnswerHeaders, decodeRelayedRequest } from './relayHeaders.ts'
import type { RelayedRequest } from './relayedRequest.ts'

/** Size of the headers that VMs add to a caller's, in bytes. */
const MAX_RELAY_HEADER_BYTES = 16 * 1024

/** Handles a request that another VM relays. */
export type RelayHandler = (request: http.IncomingMessage, response: http.ServerResponse, relayed: RelayedRequest) => void

/** Serves the calls of the other VMs and the requests that they relay. The key that they must send is drawn at each start; they read it from this VM's row. */
export class PeerServer {
  readonly #key = createIncarnation() + createIncarnation()
  readonly #server: BoundedServer
  readonly #handleRelayed: RelayHandler

  constructor (methods: RpcMethods, handleRelayed: RelayHandler, bounds: ServerBounds) {
    const handleCall = createRpcHandler(methods, this.#key)
    this.#handleRelayed = handleRelayed
    // The body has its own size and idle limits.
    this.#server = new BoundedServer({ maxHeaderSize: MAX_READABLE_HEADER_BYTES + MAX_RELAY_HEADER_BYTES, noDelay: true, requestTimeout: 0 }, bounds, (request, response) => {
      if (request.headers[RELAY_HEADER.key] !== undefined) this.#serveRelayed(request, response)
      else handleCall(request, response).catch(() => response.destroy())
    })
  }

  /** Starts to listen; resolves to the address for the other VMs. */
  async start (address: ListenAddress): Promise<PeerAddress> {
    return { url: await this.#server.start(address), key: this.#key }
  }

  /** Closes the server and its connections at once; requests that have just arrived are answered, until the signal aborts. */
  async close (signal: AbortSignal): Promise<void> {
    await this.#server.close(signal)
  }

  #serveRelayed (request: http.IncomingMessage, response: http.ServerResponse): void {
    const relayed = decodeRelayedRequest(request.headers)
    if (relayed !== null && isSameSecret(String(request.headers[RELAY_HEADER.key]), this.#key)) return this.#handleRelayed(request, response, relayed)
    response.shouldKeepAlive = false
    response.writeHead(503, [...buildRelayAnswerHeaders(buildRefusal('relay_key', false, null)), 'Content-Length', '0']).end()
  }
}
