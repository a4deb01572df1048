import type { IncomingMessage, ServerResponse } from 'node:http'
import { describeRan } from 'knapweedshunt-orders'
import type { OrderReply } from 'knapweedshunt-orders'
import type { OrderOutcome } from 'knapweedshunt-types'
import { sendJsonResponse } from 'knapweedshunt-utils'
import { authenticate } from '../authenticate.ts'
import { createCallerError } from '../callerError.ts'
import type { DataPath } from '../dataPath.ts'
import type { ResourceIndex } from '../resourceIndex.ts'
import { buildReplyError } from './buildReplyError.ts'

const ORDERS_PATH = '/v1/orders/'
const TICKETS_PATH = '/v1/tickets'
const HTTP_CREATED = 201

/** Serves `POST /v1/tickets` and `GET /v1/orders/{key or ticket}`. Returns false for other paths. Throws CallerError. */
export async function serveOrderPaths (path: DataPath, index: ResourceIndex, message: IncomingMessage, response: ServerResponse): Promise<boolean> {
  const url = message.url ?? ''
  if (url === TICKETS_PATH) {
    checkMethod(message, 'POST')
    await sendMintedTicket(path, authenticate(message.headers, index), response)
    return true
  }
  if (!url.startsWith(ORDERS_PATH)) return false
  checkMethod(message, 'GET')
  await sendOrderStatus(path, authenticate(message.headers, index), parseOrderKey(url), response)
  return true
}

function checkMethod (message: IncomingMessage, method: string): void {
  if (message.method !== method) throw createCallerError('method_not_allowed', `${message.method} is not served here: send ${method}.`)
}

function parseOrderKey (url: string): string {
  try {
    return decodeURIComponent(url.slice(ORDERS_PATH.length))
  } catch {
    throw createCallerError('bad_request', 'The key in the path is not percent-encoded UTF-8: encode it as encodeURIComponent does.')
  }
}

async function sendMintedTicket (path: DataPath, organisation: string, response: ServerResponse): Promise<void> {
  const { ticket, type, expiresAtMs } = await path.orders.service.mintTicket(organisation)
  sendJsonResponse(response, HTTP_CREATED, { ticket, type, expires_at_ms: expiresAtMs })
}

/** Sends the status of an order. A path segment with a valid ticket signature is read as a ticket, any other as the caller's own idempotency key. */
async function sendOrderStatus (path: DataPath, organisation: string, key: string, response: ServerResponse): Promise<void> {
  const { service, peers } = path.orders
  const ticketReply = await service.readTicket(organisation, key, url => peers.readTicket(url, { organisation, ticket: key }))
  const reply = ticketReply.type === 'ticket-invalid' ? await service.readOwnKey(organisation, key) : ticketReply
  if (!isStatusReply(reply)) throw buildReplyError(reply, null)
  const ran = describeRan(reply)
  const outcome: OrderOutcome = reply.type === 'ran' && reply.answer !== null ? { ran, answer: reply.answer } : { ran }
  sendJsonResponse(response, 200, outcome, { 'x-ran': ran })
}

function isStatusReply (reply: OrderReply): boolean {
  return reply.type === 'ran' || reply.type === 'not-run' || reply.type === 'may-have-run' || reply.type === 'in-progress'
}
