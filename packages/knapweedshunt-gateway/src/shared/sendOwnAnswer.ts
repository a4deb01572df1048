import type http from 'node:http'
import type { EndpointPort } from '../ports/endpointPort.ts'
import type { OwnAnswer } from './callerError.ts'

/** Sends the router's own answer; an answer that has begun is broken off instead. */
export function sendOwnAnswer (answer: http.ServerResponse, requestId: string | null, own: OwnAnswer, port: EndpointPort): void {
  if (answer.headersSent || answer.destroyed) {
    answer.destroy()
    return
  }
  const text = JSON.stringify({ error: { code: own.code } })
  if (own.closes) answer.shouldKeepAlive = false
  answer.writeHead(own.status, [...port.buildOwnHeaders(requestId, own.retryAfterMs), 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(text))])
  answer.end(text)
}
