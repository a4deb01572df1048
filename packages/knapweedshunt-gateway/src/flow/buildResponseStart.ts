import type http from 'node:http'
import type { RelayAnswer } from '../peers/relayAnswer.ts'
import { buildRelayAnswerHeaders } from '../peers/relayHeaders.ts'
import { filterEndToEndHeaders } from '../shared/filterEndToEndHeaders.ts'
import type { ResponseStart } from '../shared/responseStart.ts'

/** What the head of a response to a caller is built from, besides the endpoint's response. */
export interface ResponseStartOptions {
  /** Method of the request. */
  method: string
  /** Size of the body in bytes; null if it is not known yet. */
  length: number | null
  /** What the VM that relayed the request is told; null for a caller. */
  answer: RelayAnswer | null
}

/** Builds the head of the response to a caller from that of the endpoint's. The length of a body that is not known yet is left out, however the endpoint delimits it. */
export function buildResponseStart (response: http.IncomingMessage, { method, length, answer }: ResponseStartOptions): ResponseStart {
  const status = response.statusCode ?? 0
  const headers = filterEndToEndHeaders(response.rawHeaders)
  if (answer !== null) headers.push(...buildRelayAnswerHeaders(answer))
  const isBodiless = method === 'HEAD' || status === 204 || status === 304
  if (length !== null && !isBodiless) headers.push('Content-Length', String(length))
  return { status, message: response.statusMessage ?? '', headers, closesConnection: false }
}
