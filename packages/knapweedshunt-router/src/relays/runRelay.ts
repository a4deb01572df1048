import http from 'node:http'
import type { AttemptEvent } from 'knapweedshunt-attempts'
import { NoRoomError, ResponseAgent, waitForHead } from 'knapweedshunt-utils'
import { match } from 'ts-pattern'
import type { AttemptCall } from '../attemptCall.ts'
import { EndpointError, isConnectionRefused } from '../endpointError.ts'
import { SERVICES_PATH } from '../parseCallerRequest.ts'
import { readEngineStream } from '../readEngineStream.ts'
import { readPlainAnswer } from '../runAttempt.ts'
import { StallTimer } from '../stallTimer.ts'
import type { RelayAnswer } from './relayAnswer.ts'
import type { RelayedAttempt } from './relayedAttempt.ts'
import { buildRelayHeaders, decodeRelayAnswer } from './relayHeaders.ts'

const MAX_REQUEST_ID_CHARS = 64

/** One attempt of a request through another router, whose base URL is `url`. */
export interface RelayCall extends AttemptCall {
  /** Shared key of the routers. */
  key: string
  relayed: RelayedAttempt
  /** Headers of the caller that the other router needs. */
  callerHeaders: Record<string, string>
}

/** Sends an attempt to another router and emits its response as events. Never rejects. A response without the router's answer header counts as lost. */
export async function runRelay (call: RelayCall): Promise<void> {
  const { attempt, request, emit } = call
  const timer = new StallTimer(call.stallLimits, kind => emit({ type: 'stalled', attempt, kind }))
  timer.start('first-token')
  try {
    const message = await sendRelay(call)
    const answer = decodeRelayAnswer(message.headers)
    if (answer === null) message.destroy()
    if (answer === null) throw new EndpointError('The router sent a response without its answer header.')
    if (answer.type === 'refused') {
      message.resume()
      emit(buildRefusalEvent(call, answer))
    } else if (request.work.type === 'service') await readPlainAnswer(call, message)
    else await readEngineStream(call, message, timer)
  } catch (error) {
    emit(isConnectionRefused(error) ? { type: 'refused', attempt } : { type: 'broken', attempt, reason: error instanceof NoRoomError ? 'no-room' : 'relay' })
  } finally {
    timer.stop()
  }
}

async function sendRelay ({ url, request, agent, signal, key, relayed, callerHeaders }: RelayCall): Promise<http.IncomingMessage> {
  const { method, path, contentType, body } = match(request.work)
    .with({ type: 'completion' }, work => ({ method: 'POST', path: work.path as string, contentType: 'application/json', body: JSON.stringify(work.body) }))
    .with({ type: 'service' }, work => ({ ...work, path: SERVICES_PATH + work.path }))
    .exhaustive()
  const headers: Record<string, string> = {
    ...callerHeaders,
    ...buildRelayHeaders(key, relayed),
    'content-type': contentType,
    'content-length': String(Buffer.byteLength(body)),
    'x-request-id': request.requestId.slice(-MAX_REQUEST_ID_CHARS),
    'x-priority-class': request.priorityClass,
    'x-timeout-ms': String(Math.max(1, Math.round(request.deadlineAtMs - performance.now())))
  }
  if (!request.repeatable) headers['x-repeatable'] = 'false'
  if (request.idempotencyKey !== null) headers['idempotency-key'] = request.idempotencyKey
  const sent = http.request(url + path, { method, headers, agent: request.repeatable ? agent : new ResponseAgent(), signal })
  sent.end(body)
  return await waitForHead(sent)
}

/** A refusal that rules out a run lets the request go on elsewhere. */
function buildRefusalEvent ({ attempt, request }: RelayCall, { code, ran, retryAfterMs, message }: Extract<RelayAnswer, { type: 'refused' }>): AttemptEvent {
  if (code === 'endpoint_rejected') return { type: 'rejected', attempt, status: 400, retryAfterMs, message }
  if (code === 'request_quarantined') return { type: 'quarantined', attempt, retryAfterMs: retryAfterMs ?? 0 }
  if (ran !== 'not-run') return { type: 'broken', attempt, reason: 'relay' }
  return request.repeatable ? { type: 'rejected', attempt, status: 503, retryAfterMs, message } : { type: 'refused', attempt }
}
