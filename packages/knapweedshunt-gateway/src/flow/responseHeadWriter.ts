import type http from 'node:http'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import { buildRelayAnswerHeaders } from '../peers/relayHeaders.ts'
import { filterEndToEndHeaders } from '../shared/filterEndToEndHeaders.ts'

/** Writes the status line and headers of an endpoint's response to one caller. */
export class ResponseHeadWriter {
  readonly #callerResponse: http.ServerResponse
  readonly #method: string

  constructor (callerResponse: http.ServerResponse, method: string) {
    this.#callerResponse = callerResponse
    this.#method = method
  }

  /** Writes the status and the end-to-end headers. `length` is the size of the body in bytes, null if it is not known yet; `answer` goes to the VM that relayed the request, null for a caller. */
  writeHead (response: http.IncomingMessage, status: number, length: number | null, answer: RelayAnswer | null): void {
    const headers = filterEndToEndHeaders(response.rawHeaders)
    if (answer !== null) headers.push(...buildRelayAnswerHeaders(answer))
    const isBodiless = this.#method === 'HEAD' || status === 204 || status === 304
    if (isFramed(response)) {
      if (length !== null && !isBodiless) headers.push('Content-Length', String(length))
    } else {
      // The endpoint delimits its response by closing the connection, so the response to the caller is delimited in the same way.
      this.#callerResponse.useChunkedEncodingByDefault = false
      this.#callerResponse.shouldKeepAlive = false
    }
    this.#callerResponse.sendDate = false
    this.#callerResponse.writeHead(status, response.statusMessage ?? '', headers)
  }
}

/** Whether a header delimits the body, rather than the end of the connection. */
function isFramed ({ headers }: http.IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
