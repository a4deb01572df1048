import type { Duplex } from 'node:stream'
import { createIncarnation } from 'knapweedshunt-utils'
import { CALLER_ERROR_CODES, createCallerError } from './callerError.ts'
import type { CallerErrorInstance } from './callerError.ts'
import { buildErrorBody } from './sendCallerError.ts'

const REASON_PHRASES: Record<number, string> = { 400: 'Bad Request', 408: 'Request Timeout', 431: 'Request Header Fields Too Large' }

/** Answers a request that Node's HTTP parser rejected, unless a response was already started, and closes the connection. */
export function answerClientError (error: NodeJS.ErrnoException, socket: Duplex, hasResponseStarted: boolean): void {
  if (!socket.writable || hasResponseStarted || error.code === 'ECONNRESET') {
    socket.destroy()
    return
  }
  const callerError = describeClientError(error.code)
  const { status } = CALLER_ERROR_CODES[callerError.code]
  const requestId = createIncarnation()
  const body = JSON.stringify(buildErrorBody(callerError, requestId))
  const head = [
    `HTTP/1.1 ${status} ${REASON_PHRASES[status]}`,
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    `x-request-id: ${requestId}`,
    'x-ran: not-run',
    'connection: close'
  ]
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}

function describeClientError (code: string | undefined): CallerErrorInstance {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return createCallerError('headers_too_large', 'The headers are too large: send fewer or shorter ones.')
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return createCallerError('request_too_slow', 'The request did not arrive whole in time: send it faster.')
    default:
      return createCallerError('request_unreadable', 'The request is not valid HTTP, or ended early: send all of it.')
  }
}
