import http from 'node:http'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Duplex } from 'node:stream'
import { closeServer, createIncarnation, listen, sleep } from 'knapweedshunt-utils'
import type { ListenOptions } from 'knapweedshunt-utils'
import { answerClientError } from './answerClientError.ts'
import { createCallerError } from './callerError.ts'
import { sendCallerError } from './sendCallerError.ts'

/** Serves one request to its end; never throws. */
export type ServeRequest = (message: IncomingMessage, response: ServerResponse) => Promise<void>

/** Options of the callers' server. */
export interface CallerServerOptions {
  /** Longest time in which a request must arrive whole, in milliseconds. */
  requestTimeoutMs: number
  /** Time between the end of readiness and the closing of idle connections, in milliseconds. */
  drainGraceMs: number
  serve: ServeRequest
}

/** Wait suggested to a caller that reached a stopping router, in milliseconds: the balancer sends it elsewhere. */
const RETRY_AFTER_MS = 1_000

/** Time between looks for requests that arrived late, in milliseconds. */
const CHECK_INTERVAL_MS = 1_000

/** HTTP server towards callers that can stop without cutting a request. */
export class CallerServer {
  readonly #options: CallerServerOptions
  readonly #server: http.Server
  readonly #sockets = new Set<Duplex>()
  readonly #answering = new Map<Duplex, ServerResponse>()
  readonly #serving = new Set<Promise<void>>()
  #known: Set<Duplex> | null = null

  constructor (options: CallerServerOptions) {
    this.#options = options
    const { requestTimeoutMs } = options
    this.#server = http.createServer({ requestTimeout: requestTimeoutMs, headersTimeout: requestTimeoutMs, connectionsCheckingInterval: CHECK_INTERVAL_MS }, (message, response) => this.#accept(message, response))
    this.#server.on('connection', socket => this.#noteConnection(socket))
    this.#server.on('clientError', (error, socket) => answerClientError(error, socket, this.#answering.get(socket)?.headersSent ?? false))
  }

  /** Whether new work is taken no more. */
  get stopping (): boolean {
    return this.#known !== null
  }

  /** Starts to listen; resolves to the base URL. */
  listen (options: ListenOptions): Promise<string> {
    return listen(this.#server, options)
  }

  /** Refuses work of new connections, serves that of older ones for the grace time, finishes every request, then closes. */
  async stop (): Promise<void> {
    this.#known = new Set(this.#sockets)
    await sleep(this.#options.drainGraceMs)
    const closed = closeServer(this.#server)
    while (this.#serving.size > 0) await Promise.all(this.#serving)
    this.#server.closeIdleConnections()
    await closed
  }

  #noteConnection (socket: Duplex): void {
    this.#sockets.add(socket)
    socket.once('close', () => this.#sockets.delete(socket))
  }

  #accept (message: IncomingMessage, response: ServerResponse): void {
    this.#answering.set(message.socket, response)
    response.once('close', () => this.#answering.delete(message.socket))
    if (this.#known !== null) response.setHeader('connection', 'close')
    if (this.#known?.has(message.socket) === false && message.url !== '/healthz' && message.url !== '/readyz') {
      return sendCallerError(response, createCallerError('shutting_down', 'The router is stopping: connect again.', 'not-run', RETRY_AFTER_MS), createIncarnation())
    }
    const serving = this.#options.serve(message, response).finally(() => this.#serving.delete(serving))
    this.#serving.add(serving)
  }
}
