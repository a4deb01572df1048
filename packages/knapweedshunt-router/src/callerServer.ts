import http from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import type { Logger } from 'knapweedshunt-logger'
import { closeOnIdleTimeout, closeServer, createIncarnation, limitParsing, listen, sleep } from 'knapweedshunt-utils'
import type { ListenOptions } from 'knapweedshunt-utils'
import { answerClientError } from './answerClientError.ts'
import { createCallerError } from './callerError.ts'
import { sendCallerError } from './sendCallerError.ts'

/** Serves one request until its response has ended; never throws. */
export type ServeRequest = (message: IncomingMessage, response: ServerResponse) => Promise<void>

/** Options of {@link CallerServer}. */
export interface CallerServerOptions {
  /** Timeout for receiving a complete request, in milliseconds. */
  requestTimeoutMs: number
  /** Time between the start of a drain, when readiness ends, and the closing of idle connections, in milliseconds. */
  drainGraceMs: number
  log: Logger
  serve: ServeRequest
}

/** Retry delay sent to callers of a stopping router, in milliseconds; the load balancer routes the retry to another router. */
const STOPPING_RETRY_AFTER_MS = 1_000

/** Interval between checks for requests that exceed their timeout, in milliseconds. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000

/** HTTP server for callers that drains on stop without aborting a request. */
export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: http.Server
  readonly #sockets = new Set<Duplex>()
  /** Responses of each connection that are not out yet, in the order of their requests; a connection without any is not listed. */
  readonly #responses = new Map<Duplex, Set<ServerResponse>>()
  readonly #requestsInFlight = new Set<Promise<void>>()
  #connectionsAtStop: Set<Duplex> | null = null

  constructor (options: CallerServerOptions) {
    this.#options = options
    const { requestTimeoutMs } = options
    this.#server = http.createServer({ requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS }, (message, response) => this.#handleRequest(message, response))
    closeOnIdleTimeout(this.#server)
    limitParsing(this.#server)
    this.#server.on('connection', socket => this.#trackConnection(socket))
    this.#server.on('clientError', (error, socket) => answerClientError(error, socket, [...this.#responses.get(socket) ?? []].at(-1)?.headersSent ?? false))
  }

  /** Whether the server is draining. */
  get isStopping (): boolean {
    return this.#connectionsAtStop !== null
  }

  /** Starts listening; resolves to the base URL. */
  listen (options: ListenOptions): Promise<string> {
    return listen(this.#server, options)
  }

  /** Refuses requests on new connections, serves those on older connections during the grace period, waits for every request in flight, then closes. */
  async stop (): Promise<void> {
    this.#connectionsAtStop = new Set(this.#sockets)
    await sleep(this.#options.drainGraceMs)
    const closed = closeServer(this.#server)
    while (this.#requestsInFlight.size > 0) await Promise.all(this.#requestsInFlight)
    this.#server.closeIdleConnections()
    await closed
  }

  #trackConnection (socket: Duplex): void {
    this.#sockets.add(socket)
    // Node.js does not close a response that still waits behind another one.
    socket.once('close', () => {
      this.#sockets.delete(socket)
      this.#responses.delete(socket)
    })
  }

  #handleRequest (message: IncomingMessage, response: ServerResponse): void {
    const pending = this.#responses.get(message.socket) ?? new Set()
    const [first] = pending
    if (first?.headersSent && first.getHeader('connection') === 'close') {
      this.#options.log.warn('Request not accepted: the response before it closes its connection.')
      return
    }
    this.#responses.set(message.socket, pending.add(response))
    this.#announceClose(pending)
    response.once('close', () => {
      pending.delete(response)
      if (pending.size === 0) this.#responses.delete(message.socket)
      else this.#announceClose(pending)
    })
    if (this.#connectionsAtStop?.has(message.socket) === false && message.url !== '/healthz' && message.url !== '/readyz') {
      return sendCallerError(response, createCallerError('shutting_down', 'The router is stopping: connect again.', 'not-run', STOPPING_RETRY_AFTER_MS), createIncarnation())
    }
    const serving = this.#options.serve(message, response).finally(() => this.#requestsInFlight.delete(serving))
    this.#requestsInFlight.add(serving)
  }

  /** In a drain the response that is sent next closes its connection if no other request was read behind it. */
  #announceClose (pending: Iterable<ServerResponse>): void {
    const [first, next] = pending
    if (!this.isStopping || first.headersSent) return
    if (next === undefined) first.setHeader('connection', 'close')
    else if (first.hasHeader('connection')) first.removeHeader('connection')
  }
}
