import type http from 'node:http'
import type { EndpointPort } from '../ports/endpointPort.ts'
import { buildRelayAnswerHeaders } from '../peers/relayHeaders.ts'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import { abortResponse } from './abortResponse.ts'
import type { RouterResponse } from './callerError.ts'

/** Sends the router's own response; `answer` goes to the VM that relayed the request, null for a caller. If a response has already started, it is aborted instead. */
export function sendRouterResponse (response: http.ServerResponse, requestId: string | null, routerResponse: RouterResponse, endpointPort: EndpointPort, answer: RelayAnswer | null = null): void {
  if (response.headersSent || response.destroyed) {
    abortResponse(response)
    return
  }
  const text = JSON.stringify({ error: { code: routerResponse.code } })
  if (routerResponse.closesConnection) response.shouldKeepAlive = false
  response.writeHead(routerResponse.status, [...endpointPort.buildRouterHeaders(requestId, routerResponse.retryAfterMs), ...(answer === null ? [] : buildRelayAnswerHeaders(answer)), 'Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(text))])
  response.end(text)
}
