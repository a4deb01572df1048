import http from 'node:http'
import type { Socket } from 'node:net'
import { listen } from 'knapweedshunt-utils'
import type { CallerLimits } from '../ports/gatewayConfig.ts'
import type { ListenAddress } from '../ports/vmSettings.ts'

/** Largest head that is read at all, in bytes; the configured limit is checked afterwards. */
const MAX_HEAD_BYTES = 128 * 1024

/** Time between two looks for callers that send their head too slowly, in milliseconds. */
const SLOW_LOOK_MS = 500

/** Limits before the first configuration; those of a small deployment. */
const FIRST_LIMITS: CallerLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerMs: 3_000, idleMs: 15_000 }

/** Time for which a connection stays open beyond the idle time that callers are told, in milliseconds, so that a request sent at the last moment is still read. */
const IDLE_MARGIN_MS = 2_000

/** Serves callers' connections. */
export class CallerServer {
  readonly #server: http.Server
  #isStopping = false

  constructor (onRequest: (message: http.IncomingMessage, answer: http.ServerResponse) => void) {
    this.#server = http.createServer({ maxHeaderSize: MAX_HEAD_BYTES, connectionsCheckingInterval: SLOW_LOOK_MS, keepAlive: true, noDelay: true }, (message, answer) => {
      if (this.#isStopping) answer.shouldKeepAlive = false
      // An answer whose head went out before the stop left its connection open.
      answer.once('finish', () => { if (this.#isStopping) message.socket.end() })
      onRequest(message, answer)
    })
    this.#server.requestTimeout = 0 // The body has limits of its own.
    this.#server.on('clientError', answerClientError)
    this.takeLimits(FIRST_LIMITS)
  }

  /** Starts to listen; resolves to the base URL. */
  async start (address: ListenAddress): Promise<string> {
    return await listen(this.#server, address)
  }

  /** Takes limits of the configuration in force. */
  takeLimits ({ headerMs, idleMs }: CallerLimits): void {
    this.#server.headersTimeout = headerMs
    this.#server.keepAliveTimeout = idleMs + IDLE_MARGIN_MS
  }

  /** Ends each connection after its present answer. */
  startStop (): void {
    this.#isStopping = true
  }

  /** Accepts no more connections. */
  closeListener (): void {
    this.#server.close()
  }

  /** Closes connections without a request under way. */
  closeIdle (): void {
    this.#server.closeIdleConnections()
  }

  /** Closes what is open. */
  closeAll (): void {
    this.#server.closeAllConnections()
  }
}

/** A head that cannot be read reaches no endpoint. */
function answerClientError (error: NodeJS.ErrnoException, socket: Socket): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'
  socket.end(`HTTP/1.1 ${status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`)
}
