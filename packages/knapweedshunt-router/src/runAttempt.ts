import http from 'node:http'
import { readBody, ResponseAgent, waitForHead } from 'knapweedshunt-utils'
import type { AttemptCall } from './attemptCall.ts'
import { buildEndpointCall } from './buildEndpointCall.ts'
import { isConnectionRefused, classifyFailure } from './endpointError.ts'
import { readEngineStream } from './readEngineStream.ts'
import { readBackpressureSignals } from './readBackpressureSignals.ts'
import { readRejection } from './readRejection.ts'
import { StallTimer } from './stallTimer.ts'

const MAX_RESPONSE_BYTES = 16 * 1024 * 1024
const STATUS_OK = 200

/** Header in which an endpoint states how many requests per second it accepts from all VMs together. */
const LIMIT_HEADER = 'x-requests-per-second'
const LIMIT_PATTERN = /^\d+(\.\d+)?$/

/** Sends the request of an attempt and emits its response as events. Never rejects. */
export async function runAttempt (call: AttemptCall): Promise<void> {
  const { attempt, emit } = call
  const timer = new StallTimer(call.stallLimits, kind => emit({ type: 'stalled', attempt, kind }))
  timer.start('first-token')
  try {
    const message = await sendAttempt(call)
    recordLimit(call, message)
    call.recordSignals(readBackpressureSignals(message))
    if (call.request.work.type === 'service') await readPlainAnswer(call, message)
    else if (message.statusCode !== STATUS_OK) emit(await readRejection(call, message))
    else await readEngineStream(call, message, timer)
  } catch (error) {
    if (isConnectionRefused(error)) emit({ type: 'refused', attempt })
    else emit({ type: 'broken', attempt, reason: classifyFailure(error) })
  } finally {
    timer.stop()
  }
}

/** Sends a non-repeatable request on a new connection: an endpoint may close a keep-alive connection just as it is reused, and it would be unknown whether the request was read. */
async function sendAttempt (call: AttemptCall): Promise<http.IncomingMessage> {
  const { path, method, headers, body } = buildEndpointCall(call)
  const request = http.request(call.url + path, { method, headers, agent: call.request.repeatable ? call.agent : new ResponseAgent(), signal: call.signal })
  request.end(body)
  return await waitForHead(request)
}

/** A value that is not a rate is ignored: what the endpoint stated before stays in force. */
function recordLimit (call: AttemptCall, { headers }: http.IncomingMessage): void {
  const text = headers[LIMIT_HEADER]
  if (text === undefined) call.recordLimit(null)
  else if (typeof text === 'string' && LIMIT_PATTERN.test(text)) call.recordLimit(Number(text))
}

/** Reads the response of a service, whatever its status. */
export async function readPlainAnswer (call: AttemptCall, message: http.IncomingMessage): Promise<void> {
  const body = await readBody(message, MAX_RESPONSE_BYTES, sizeBytes => call.share.tryResize(sizeBytes))
  const contentType = message.headers['content-type'] ?? 'application/octet-stream'
  call.emit({ type: 'answer', attempt: call.attempt, answer: { status: message.statusCode ?? 0, contentType, body } })
}
