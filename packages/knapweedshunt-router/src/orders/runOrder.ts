import type { OrderReply } from 'knapweedshunt-orders'
import { hashText } from 'knapweedshunt-utils'
import { createCallerError } from '../callerError.ts'
import type { CallerRequest } from '../callerRequest.ts'
import type { CallerSink } from '../callerSink.ts'
import type { DataPath } from '../dataPath.ts'
import { buildReplyError } from './answerReply.ts'
import { OrderDispatch } from './orderDispatch.ts'
import { COMPLETION_TYPE, deliverRecord } from './recordedCompletion.ts'

/** Runs a non-repeatable request at most once and gives the caller its final answer. */
export async function runOrder (path: DataPath, request: CallerRequest, sink: CallerSink): Promise<void> {
  const dispatch = new OrderDispatch(path, nameForEndpoint(request), sink)
  const reply = await startRun(path, request, dispatch)
  dispatch.detach()
  if (reply.type === 'ran' && dispatch.answer !== null) return finishLive(path, request, sink, dispatch)
  if (reply.type === 'ran' && reply.answer !== null) return deliverRecord(sink, reply.answer, request.resumeFrom)
  const error = buildReplyError(reply, dispatch.refusal)
  path.figures.recordRefusal(request, error.code)
  sink.fail(error)
}

/** Runs a forwarded ticket; the reply carries the whole answer. */
export async function runForwarded (path: DataPath, request: CallerRequest): Promise<OrderReply> {
  const dispatch = new OrderDispatch(path, nameForEndpoint(request), null)
  const reply = await startRun(path, request, dispatch, false)
  return reply.type === 'ran' ? { type: 'ran', answer: dispatch.answer ?? reply.answer } : reply
}

function startRun (path: DataPath, request: CallerRequest, dispatcher: OrderDispatch, mayForward = true): Promise<OrderReply> {
  const { organisation, digest, deadlineAtMs, idempotencyKey, orderTicket } = request
  const { service, peers } = path.orders
  if (orderTicket !== null) {
    const forward = mayForward ? (url: string) => peers.runTicket(url, request) : undefined
    return service.runTicket({ organisation, ticket: orderTicket, digest, deadlineAtMs, dispatcher, forward })
  }
  if (idempotencyKey === null) throw createCallerError('idempotency_key_required', 'The route may not be repeated: send an Idempotency-Key or an X-Order-Ticket.')
  return service.runOwnKey({ organisation, idempotencyKey, digest, deadlineAtMs, dispatcher })
}

/** Key under which endpoints that check keys know the order. */
function nameForEndpoint (request: CallerRequest): CallerRequest {
  if (request.orderTicket === null) return request
  return { ...request, idempotencyKey: `ticket/${hashText(request.orderTicket)}` }
}

/** Tokens were delivered as they came; a service's answer comes whole. */
function finishLive (path: DataPath, request: CallerRequest, sink: CallerSink, dispatch: OrderDispatch): void {
  path.figures.recordUsage(request, dispatch.usage)
  if (dispatch.answer !== null && dispatch.answer.contentType !== COMPLETION_TYPE) sink.deliverAnswer(dispatch.answer)
  sink.finish(dispatch.usage)
}
