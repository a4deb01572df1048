import type http from 'node:http'
import type { ExecutionState } from 'knapweedshunt-types'
import { requestJson } from 'knapweedshunt-utils'

/** Size of a service's answer, in bytes. */
const MAX_ANSWER_BYTES = 16 * 1024 * 1024

/** Parameters of one order, a service request that must run at most once. */
export interface OrderCall {
  url: string
  accessKey: string
  path: string
  /** Idempotency key, also sent in the body. */
  key: string
  timeoutMs: number
  agent?: http.Agent
}

/** Outcome of an order. `refused` carries what the router knows about the execution. */
export type OrderResult =
  | { type: 'ran', status: number }
  | { type: 'refused', status: number, code: string, ran: ExecutionState }

/** Sends the order. Throws HttpError when the router cannot be reached. */
export async function callOrder (call: OrderCall): Promise<OrderResult> {
  const headers = { authorization: `Bearer ${call.accessKey}`, 'idempotency-key': call.key }
  const answer = await requestJson({ method: 'POST', url: `${call.url}/v1/services${call.path}`, body: { order: call.key }, headers, timeoutMs: call.timeoutMs, agent: call.agent, maxResponseBytes: MAX_ANSWER_BYTES })
  const error = (answer.body as { error?: { code: string, ran: ExecutionState } } | undefined)?.error
  if (error?.code === undefined) return { type: 'ran', status: answer.status }
  return { type: 'refused', status: answer.status, code: error.code, ran: error.ran }
}
