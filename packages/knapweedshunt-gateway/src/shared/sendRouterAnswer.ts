import type http from 'node:http'
import type { EndpointPort } from '../ports/endpointPort.ts'
import type { RouterAnswer } from './callerError.ts'

/** Sends the router's own answer. If an answer has already started, its connection is closed instead. */
export function sendRouterAnswer (answer: http.ServerResponse, requestId: string | null, routerAnswer: RouterAnswer, endpointPort: EndpointPort): void {
  if (answer.headersSent || answer.destroyed) {
    answer.destroy()
    return
  }
  const text = JSON.stringify({ error: { code: routerAnswer.code } })
  if (routerAnswer.closesConnection) answer.shouldKeepAlive = false
  answer.writeHead(routerAnswer.status, [...endpointPort.buildRouterHeaders(requestId, routerAnswer.retryAfterMs), 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(text))])
  answer.end(text)
}
