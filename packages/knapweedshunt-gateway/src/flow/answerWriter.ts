import type http from 'node:http'
import { filterEndToEndHeaders } from '../shared/filterEndToEndHeaders.ts'

/** Writes the status line and headers of an endpoint's answer to one caller. */
export class AnswerWriter {
  readonly #answer: http.ServerResponse
  readonly #method: string

  constructor (answer: http.ServerResponse, method: string) {
    this.#answer = answer
    this.#method = method
  }

  /** Writes the status and the end-to-end headers. `length` is the size of the body in bytes, null if it is not known yet. */
  writeHead (message: http.IncomingMessage, status: number, length: number | null): void {
    const headers = filterEndToEndHeaders(message.rawHeaders)
    const isBodiless = this.#method === 'HEAD' || status === 204 || status === 304
    if (isFramed(message)) {
      if (length !== null && !isBodiless) headers.push('Content-Length', String(length))
    } else {
      // The endpoint delimits its answer by closing the connection, so the answer to the caller is delimited in the same way.
      this.#answer.useChunkedEncodingByDefault = false
      this.#answer.shouldKeepAlive = false
    }
    this.#answer.sendDate = false
    this.#answer.writeHead(status, message.statusMessage ?? '', headers)
  }
}

/** Whether a header delimits the body, rather than the end of the connection. */
function isFramed ({ headers }: http.IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
