import http from 'node:http'
import type { Socket } from 'node:net'
import { closeOnIdleTimeout, limitParsing, listen, waitForArrivals } from 'knapweedshunt-utils'
import type { CallerLimits } from '../ports/gatewayConfig.ts'
import type { ListenAddress } from '../ports/vmSettings.ts'
import type { ConnectionEviction, UnacceptedReason } from '../records/decision.ts'
import { recordFollowed } from '../shared/responseHold.ts'
import { AcceptWatch } from './acceptWatch.ts'
import { closeUnreadConnections, DEFAULT_UNREAD_TIMEOUT_MS } from './closeUnreadConnections.ts'
import { PipelinedRequests } from './pipelinedRequests.ts'
import { recordResponseAhead } from './responseAhead.ts'
import { ServerConnections } from './serverConnections.ts'
import type { UnacceptedRequests } from './unacceptedRequests.ts'

/** Maximum size of the headers that Node.js reads, in bytes; the configured limit is checked afterwards. */
export const MAX_READABLE_HEADER_BYTES = 128 * 1024

/** Interval of the checks for connections that exceed the header timeout, in milliseconds. */
const HEADER_TIMEOUT_CHECK_INTERVAL_MS = 500

/** Limits until the first configuration is read; those of a small deployment. */
const INITIAL_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

/** Time for which an idle connection stays open beyond the idle timeout announced to callers, in milliseconds, so that a request sent at the last moment is still read. */
const KEEP_ALIVE_MARGIN_MS = 2_000

/** Size of the headers that Node.js reads as a multiple of the configured limit, and beyond it for the path, in bytes; a head that has not ended takes no more. */
const READABLE_HEADERS_FACTOR = 2
const READABLE_PATH_BYTES = 16 * 1024

/** Bounds on the connections of a {@link CallerServer}. */
export interface CallerServerOptions {
  maxConnections: number
  /** Connections whose bytes may wait to be parsed, as parsing takes long; a small number if absent. */
  maxParsingWaits?: number
  /** Requests that may wait behind others of their connections. */
  maxWaitingRequests: number
  /** Time after which a connection is closed whose caller takes no bytes, in milliseconds; {@link DEFAULT_UNREAD_TIMEOUT_MS} if absent. */
  unreadTimeoutMs?: number
  /** Ends a request whose caller sends nothing, so that its connection closes; false if there is none. */
  tryEndStill (): boolean
  onEvicted (reason: ConnectionEviction): void
  /** Called when a connection has closed on which requests were read that could not be answered. */
  onUnaccepted (requests: UnacceptedRequests): void
}

const UNBOUNDED: CallerServerOptions = { maxConnections: Infinity, maxWaitingRequests: Infinity, tryEndStill: () => false, onEvicted () {}, onUnaccepted () {} }

/** Runs a request, which was read at this monotonic time. */
type RequestListener = (request: http.IncomingMessage, response: http.ServerResponse, arrivedAtMs: number) => void

/** HTTP server for callers. */
export class CallerServer {
  readonly #server: http.Server
  /** Responses of each connection that are not out yet, in the order of their requests; a connection without any is not listed. */
  readonly #pendingResponses = new Map<Socket, Set<http.ServerResponse>>()
  /** Responses that announce the close of their connection for no other reason than that this server stops. */
  readonly #closedByStop = new WeakSet<http.ServerResponse>()
  readonly #options: CallerServerOptions
  readonly #connections: ServerConnections
  readonly #pipelinedRequests: PipelinedRequests
  /** Connections with a request whose head cannot be read behind responses that are not out yet. */
  readonly #unreadable = new WeakMap<Socket, NodeJS.ErrnoException>()
  /** Monotonic time at which each connection was last read again. */
  readonly #resumedAtMs = new WeakMap<Socket, number>()
  readonly #unaccepted = new Map<Socket, UnacceptedRequests>()
  readonly #acceptWatch = new AcceptWatch()
  #isKeepAliveDisabled = false

  constructor (onRequest: RequestListener, options: CallerServerOptions = UNBOUNDED) {
    this.#options = options
    this.#pipelinedRequests = new PipelinedRequests({ maxWaiting: options.maxWaitingRequests, onEvicted: () => options.onEvicted('waitingRequests') })
    this.#server = http.createServer({ maxHeaderSize: MAX_READABLE_HEADER_BYTES, connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_INTERVAL_MS, keepAlive: true, noDelay: true }, (request, response) => {
      const arrivedAtMs = performance.now()
      if (this.#tryAccept(request.socket, response)) this.#pipelinedRequests.enqueue(request.socket, response, () => onRequest(request, response, arrivedAtMs))
    })
    this.#server.on('connection', () => this.#acceptWatch.recordAccepted())
    // Node.js does not close a response that still waits behind another one.
    this.#server.on('connection', socket => {
      socket.on('resume', () => this.#resumedAtMs.set(socket, performance.now()))
      socket.once('close', () => {
        this.#pendingResponses.delete(socket)
        const unaccepted = this.#unaccepted.get(socket)
        if (unaccepted !== undefined) this.#options.onUnaccepted(unaccepted)
        this.#unaccepted.delete(socket)
      })
    })
    this.#connections = new ServerConnections(this.#server, { ...options, tryEndRequest: () => options.tryEndStill() })
    this.#server.requestTimeout = 0 // The body has its own size and idle limits.
    this.#server.on('clientError', (error, socket) => this.#handleClientError(error, socket as Socket))
    closeOnIdleTimeout(this.#server)
    closeUnreadConnections(this.#server, { timeoutMs: options.unreadTimeoutMs ?? DEFAULT_UNREAD_TIMEOUT_MS, onClosed: () => options.onEvicted('unread') })
    limitParsing(this.#server, options.maxParsingWaits)
    this.applyLimits(INITIAL_LIMITS)
  }

  /** Starts to listen and resolves to the base URL. */
  async start (address: ListenAddress): Promise<string> {
    return await listen(this.#server, address)
  }

  /** Applies the limits of a new configuration. */
  applyLimits ({ maxHeaderBytes, headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    // Node.js reads the property for each connection.
    Object.assign(this.#server, { maxHeaderSize: Math.min(MAX_READABLE_HEADER_BYTES, READABLE_HEADERS_FACTOR * maxHeaderBytes + READABLE_PATH_BYTES) })
    this.#server.headersTimeout = headerTimeoutMs
    this.#server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS
  }

  /** Returns whether the request can be answered; nothing can follow the last response of a connection, so a request behind it is not run. */
  #tryAccept (socket: Socket, response: http.ServerResponse): boolean {
    const pending = this.#pendingResponses.get(socket) ?? new Set()
    const last = [...pending].at(-1)
    // A response that was aborted before its turn destroys the connection when its turn comes.
    const isLastAnnounced = [...pending].some(one => one.destroyed || (!one.shouldKeepAlive && !this.#canBeFollowed(one)))
    if (isLastAnnounced || !socket.writable || this.#unreadable.has(socket)) {
      this.#recordUnaccepted(socket, isLastAnnounced ? 'behindLastResponse' : 'connectionClosing')
      return false
    }
    if (last !== undefined && this.#canBeFollowed(last)) {
      this.#closedByStop.delete(last)
      last.shouldKeepAlive = true
    }
    if (last !== undefined) {
      recordFollowed(last)
      recordResponseAhead(response.req, last)
    }
    this.#pendingResponses.set(socket, pending.add(response))
    this.#connections.recordBusy(socket)
    if (this.#isKeepAliveDisabled) this.#announceClose(response)
    response.once('close', () => {
      pending.delete(response)
      if (pending.size > 0) return
      this.#pendingResponses.delete(socket)
      this.#connections.recordIdle(socket)
      const error = this.#unreadable.get(socket)
      if (error === undefined) return
      respondToClientError(error, socket)
      socket.resume()
    })
    return true
  }

  /** Refuses a head that is malformed or late, once the requests before it on its connection are answered. The time of a head does not run while its connection is not read. */
  #handleClientError (error: NodeJS.ErrnoException, socket: Socket, requestCount = this.#pipelinedRequests.countRequests(socket)): void {
    const remainingMs = this.#server.headersTimeout - this.#measureReadMs(socket)
    if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT' && remainingMs > 0) {
      // Node.js reports a late head once.
      setTimeout(() => {
        if (!socket.destroyed && this.#pipelinedRequests.countRequests(socket) === requestCount) this.#handleClientError(error, socket, requestCount)
      }, remainingMs).unref()
      return
    }
    const pending = [...this.#pendingResponses.get(socket) ?? []]
    const isBodyUnreadable = pending.at(-1)?.req.complete === false
    if (pending.length <= Number(isBodyUnreadable) || !socket.writable || error.code === 'ECONNRESET') return respondToClientError(error, socket)
    // The caller has left; an answer to what it did not finish would stand for that of the first request.
    if (socket.readableEnded) {
      socket.end()
      return
    }
    // The parser cannot go on; what else the caller sends must not be read for nothing.
    if (error.code !== 'ERR_HTTP_REQUEST_TIMEOUT') socket.pause()
    // A body that does not go on is refused by its reader.
    if (!isBodyUnreadable) this.#unreadable.set(socket, this.#unreadable.get(socket) ?? error)
  }

  /** Time for which a connection has been read without a pause, in milliseconds; 0 while it is not, as others wait before it. */
  #measureReadMs (socket: Socket): number {
    return socket.isPaused() ? 0 : performance.now() - (this.#resumedAtMs.get(socket) ?? -Infinity)
  }

  #announceClose (response: http.ServerResponse): void {
    if (!response.shouldKeepAlive || response.headersSent) return
    response.shouldKeepAlive = false
    this.#closedByStop.add(response)
  }

  /** Whether another response can take over the announcement of the close. */
  #canBeFollowed (response: http.ServerResponse): boolean {
    return this.#closedByStop.has(response) && !response.headersSent
  }

  #recordUnaccepted (socket: Socket, reason: UnacceptedReason): void {
    const requests = this.#unaccepted.get(socket) ?? { reason, count: 0, sinceMs: performance.now() }
    requests.count++
    // A socket that has closed emits nothing more.
    if (!socket.destroyed) this.#unaccepted.set(socket, requests)
    else this.#options.onUnaccepted(requests)
  }

  /** Number of open connections. */
  get connectionCount (): number {
    return this.#connections.size
  }

  /** Returns the longest time since the last call in which connections may have waited to be accepted, in milliseconds. */
  takeMaxBacklogMs (): number {
    return this.#acceptWatch.takeMaxBacklogMs()
  }

  /** From now on each connection closes after a response that says so: the one to the latest request that was read when it begins, unless it has begun already. */
  disableKeepAlive (): void {
    this.#isKeepAliveDisabled = true
    for (const pending of this.#pendingResponses.values()) {
      const last = [...pending].at(-1)
      if (last !== undefined) this.#announceClose(last)
    }
  }

  /** Number of requests that wait behind others of their connections. */
  get waitingCount (): number {
    return this.#pipelinedRequests.waitingCount
  }

  /** Number of responses that are not out yet. */
  get pendingCount (): number {
    return [...this.#pendingResponses.values()].reduce((sum, { size }) => sum + size, 0)
  }

  /** Stops accepting connections, once those that have arrived are accepted and their requests read, or the signal aborts. */
  async closeListener (signal?: AbortSignal): Promise<void> {
    await waitForArrivals(this.#server, signal)
    this.#server.close()
  }

  /** Closes connections without a request in flight, once the requests that have arrived are read, or the signal aborts. */
  async closeIdleConnections (signal?: AbortSignal): Promise<void> {
    await waitForArrivals(this.#server, signal)
    this.#server.closeIdleConnections()
  }

  /** Closes all connections, also those with a request in flight. */
  closeAllConnections (): void {
    this.#server.closeAllConnections()
  }
}

/** Sends an error response to a request whose headers cannot be parsed; it is not sent to any endpoint. */
function respondToClientError (error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
  socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
}
