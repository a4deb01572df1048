import http from 'node:http'
import type { Socket } from 'node:net'
import { listen } from 'knapweedshunt-utils'
import type { CallerLimits } from '../ports/gatewayConfig.ts'
import type { ListenAddress } from '../ports/vmSettings.ts'

/** Maximum size of the headers that Node.js reads, in bytes; the configured limit is checked afterwards. */
export const MAX_READABLE_HEADER_BYTES = 128 * 1024

/** Interval of the checks for connections that exceed the header timeout, in milliseconds. */
const HEADER_TIMEOUT_CHECK_INTERVAL_MS = 500

/** Limits until the first configuration is read; those of a small deployment. */
const INITIAL_LIMITS: CallerLimits = { maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }

/** Time for which an idle connection stays open beyond the idle timeout announced to callers, in milliseconds, so that a request sent at the last moment is still read. */
const KEEP_ALIVE_MARGIN_MS = 2_000

/** HTTP server for callers. */
export class CallerServer {
  readonly #server: http.Server
  #isKeepAliveDisabled = false

  constructor (onRequest: (request: http.IncomingMessage, response: http.ServerResponse) => void) {
    this.#server = http.createServer({ maxHeaderSize: MAX_READABLE_HEADER_BYTES, connectionsCheckingInterval: HEADER_TIMEOUT_CHECK_INTERVAL_MS, keepAlive: true, noDelay: true }, (request, response) => {
      if (this.#isKeepAliveDisabled) response.shouldKeepAlive = false
      // If the headers were sent before keep-alive was disabled, the connection is still open.
      response.once('finish', () => { if (this.#isKeepAliveDisabled) request.socket.end() })
      onRequest(request, response)
    })
    this.#server.requestTimeout = 0 // The body has its own size and idle limits.
    this.#server.on('clientError', respondToClientError)
    this.applyLimits(INITIAL_LIMITS)
  }

  /** Starts to listen and resolves to the base URL. */
  async start (address: ListenAddress): Promise<string> {
    return await listen(this.#server, address)
  }

  /** Applies the limits of a new configuration. */
  applyLimits ({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.#server.headersTimeout = headerTimeoutMs
    this.#server.keepAliveTimeout = idleTimeoutMs + KEEP_ALIVE_MARGIN_MS
  }

  /** Closes each connection after the response in progress. */
  disableKeepAlive (): void {
    this.#isKeepAliveDisabled = true
  }

  /** Stops accepting connections. */
  closeListener (): void {
    this.#server.close()
  }

  /** Closes connections without a request in flight. */
  closeIdleConnections (): void {
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
