import { buildRelayAnswerHeaders } from '../peers/relayHeaders.ts'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import type { EndpointPort } from '../ports/endpointPort.ts'
import type { RouterResponse } from './callerError.ts'
import type { WholeResponse } from './responseStart.ts'

/** Builds the router's own response; `answer` goes to the VM that relayed the request, null for a caller. */
export function buildRouterResponse (requestId: string | null, { status, code, retryAfterMs, closesConnection }: RouterResponse, endpointPort: EndpointPort, answer: RelayAnswer | null): WholeResponse {
  const body = Buffer.from(JSON.stringify({ error: { code } }))
  const headers = [...endpointPort.buildRouterHeaders(requestId, retryAfterMs), ...(answer === null ? [] : buildRelayAnswerHeaders(answer)), 'Content-Type', 'application/json', 'Content-Length', String(body.length)]
  return { start: { status, message: '', headers, closesConnection }, body }
}
