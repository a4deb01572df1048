import type { OrderReply } from 'knapweedshunt-orders'
import { hashText } from 'knapweedshunt-utils'
import { createCallerError } from '../callerError.ts'
import type { CallerRequest } from '../callerRequest.ts'
import type { CallerSink } from '../callerSink.ts'
import type { DataPath } from '../dataPath.ts'
import { buildReplyError } from './buildReplyError.ts'
import { AttemptDispatcher } from './attemptDispatcher.ts'
import { COMPLETION_CONTENT_TYPE, deliverRecordedAnswer } from './completionRecord.ts'

/** Runs a non-repeatable request at most once and delivers its answer or error to the caller. */
export async function runOrder (path: DataPath, request: CallerRequest, sink: CallerSink): Promise<void> {
  const dispatcher = new AttemptDispatcher(path, assignEndpointKey(request), sink)
  const reply = await startRun(path, request, dispatcher)
  dispatcher.detach()
  if (reply.type === 'ran' && dispatcher.answer !== null) return finishLocalRun(path, request, sink, dispatcher)
  if (reply.type === 'ran' && reply.answer !== null) return deliverRecordedAnswer(sink, reply.answer, request.resumeFrom)
  const error = buildReplyError(reply, dispatcher.refusal)
  path.metrics.recordRefusal(request, error.code)
  sink.fail(error)
}

/** Runs an order forwarded by a peer. The reply carries the complete answer, also when it is too long to be recorded. */
export async function runForwardedOrder (path: DataPath, request: CallerRequest): Promise<OrderReply> {
  const dispatcher = new AttemptDispatcher(path, assignEndpointKey(request), null)
  const reply = await startRun(path, request, dispatcher, false)
  return reply.type === 'ran' ? { type: 'ran', answer: dispatcher.answer ?? reply.answer } : reply
}

function startRun (path: DataPath, request: CallerRequest, dispatcher: AttemptDispatcher, mayForward = true): Promise<OrderReply> {
  const { organisation, digest, deadlineAtMs, idempotencyKey, orderTicket } = request
  const { service, peers } = path.orders
  if (orderTicket !== null) {
    const forward = mayForward ? (url: string) => peers.runTicket(url, request) : undefined
    return service.runTicket({ organisation, ticket: orderTicket, digest, deadlineAtMs, dispatcher, forward })
  }
  if (idempotencyKey === null) throw createCallerError('idempotency_key_required', 'The route may not be repeated: send an Idempotency-Key or an X-Order-Ticket.')
  return service.runOwnKey({ organisation, idempotencyKey, digest, deadlineAtMs, dispatcher })
}

/** Copies the request with the idempotency key that is sent to endpoints: derived from the ticket, or the caller's own key. */
function assignEndpointKey (request: CallerRequest): CallerRequest {
  if (request.orderTicket === null) return request
  return { ...request, idempotencyKey: `ticket/${hashText(request.orderTicket)}` }
}

/** Finishes an order that ran on this router. Tokens of a completion were already streamed; a service's answer is delivered here in one piece. */
function finishLocalRun (path: DataPath, request: CallerRequest, sink: CallerSink, dispatcher: AttemptDispatcher): void {
  path.metrics.recordUsage(request, dispatcher.usage)
  if (dispatcher.answer !== null && dispatcher.answer.contentType !== COMPLETION_CONTENT_TYPE) sink.deliverAnswer(dispatcher.answer)
  sink.finish(dispatcher.usage)
}
