import type http from 'node:http'
import { listEndToEndHeaders } from '../shared/endToEndHeaders.ts'

/** Writes the head of an endpoint's answer to one caller. */
export class AnswerWriter {
  readonly #answer: http.ServerResponse
  readonly #method: string

  constructor (answer: http.ServerResponse, method: string) {
    this.#answer = answer
    this.#method = method
  }

  /** Writes status and end-to-end headers; `length` in bytes, null where it is not known before the end. */
  writeHead (message: http.IncomingMessage, status: number, length: number | null): void {
    const headers = listEndToEndHeaders(message.rawHeaders)
    const isBodiless = this.#method === 'HEAD' || status === 204 || status === 304
    if (isFramed(message)) {
      if (length !== null && !isBodiless) headers.push('Content-Length', String(length))
    } else {
      // Only the end of the connection ended the endpoint's answer; nothing vouches for its length to the caller either.
      this.#answer.useChunkedEncodingByDefault = false
      this.#answer.shouldKeepAlive = false
    }
    this.#answer.sendDate = false
    this.#answer.writeHead(status, message.statusMessage ?? '', headers)
  }
}

/** Whether the answer itself says where its body ends. */
function isFramed ({ headers }: http.IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
