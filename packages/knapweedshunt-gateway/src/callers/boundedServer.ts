import http from 'node:http'
import type { Socket } from 'node:net'
import { closeServer, limitParsing, listen } from 'knapweedshunt-utils'
import type { ListenAddress } from '../ports/vmSettings.ts'
import type { ConnectionEviction } from '../records/decision.ts'
import { closeUnreadConnections, DEFAULT_UNREAD_TIMEOUT_MS } from './closeUnreadConnections.ts'
import { PipelinedRequests } from './pipelinedRequests.ts'
import { ServerConnections } from './serverConnections.ts'

/** Requests that may wait behind others of their connections. Clients of these servers wait for each answer. */
const MAX_WAITING_REQUESTS = 16

/** Time after which a connection is closed whose client takes no bytes, in milliseconds: another VM that relays to a caller who reads nothing closes that caller's connection before. */
const UNREAD_TIMEOUT_MS = 2 * DEFAULT_UNREAD_TIMEOUT_MS

/** Bounds of a {@link BoundedServer}. */
export interface ServerBounds {
  maxConnections: number
  /** Time after which a connection is closed whose client takes no bytes, in milliseconds; twice that of callers if absent. */
  unreadTimeoutMs?: number
  /** Called for a connection that gave way, with the number of connections then. */
  onEvicted (reason: ConnectionEviction, connectionCount: number): void
}

/** HTTP server for other parts of the deployment: health checks, collectors of metrics, other VMs. Its connections and the requests under way on each are bounded. */
export class BoundedServer {
  readonly #server: http.Server
  readonly #connections: ServerConnections
  readonly #pipelinedRequests: PipelinedRequests
  /** Number of responses of each connection that are not out. */
  readonly #pendingCounts = new WeakMap<Socket, number>()

  constructor (options: http.ServerOptions, { maxConnections, unreadTimeoutMs = UNREAD_TIMEOUT_MS, onEvicted }: ServerBounds, onRequest: http.RequestListener) {
    this.#server = http.createServer(options, (request, response) => {
      // The parser goes on to the end of its bytes on a connection that gave way.
      if (request.socket.destroyed) return
      this.#trackPending(request.socket, response)
      this.#pipelinedRequests.enqueue(request.socket, response, () => onRequest(request, response))
    })
    const recordEvicted = (reason: ConnectionEviction) => onEvicted(reason, this.connectionCount)
    this.#pipelinedRequests = new PipelinedRequests({ maxWaiting: MAX_WAITING_REQUESTS, onEvicted: () => recordEvicted('waitingRequests') })
    this.#connections = new ServerConnections(this.#server, { maxConnections, tryEndRequest: () => this.#pipelinedRequests.tryEvictLargest(), onEvicted: recordEvicted })
    closeUnreadConnections(this.#server, { timeoutMs: unreadTimeoutMs, onClosed: () => recordEvicted('unread') })
    limitParsing(this.#server)
  }

  /** Number of open connections. */
  get connectionCount (): number {
    return this.#connections.size
  }

  /** Starts to listen; resolves to the base URL. */
  async start (address: ListenAddress): Promise<string> {
    return await listen(this.#server, address)
  }

  /** Closes the server and its connections at once; requests that have just arrived are answered, until the signal aborts. */
  async close (signal: AbortSignal): Promise<void> {
    if (!this.#server.listening) return
    this.#server.closeAllConnections()
    await closeServer(this.#server, signal)
  }

  #trackPending (socket: Socket, response: http.ServerResponse): void {
    this.#pendingCounts.set(socket, (this.#pendingCounts.get(socket) ?? 0) + 1)
    this.#connections.recordBusy(socket)
    response.once('close', () => {
      const pendingCount = (this.#pendingCounts.get(socket) ?? 0) - 1
      this.#pendingCounts.set(socket, pendingCount)
      if (pendingCount === 0) this.#connections.recordIdle(socket)
    })
  }
}
