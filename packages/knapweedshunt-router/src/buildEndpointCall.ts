import { match } from 'ts-pattern'
import type { AttemptCall } from './attemptCall.ts'

/** An HTTP call to an endpoint. */
export interface EndpointCall {
  method: string
  path: string
  headers: Record<string, string>
  body: string
}

/** Builds the call that an attempt makes. */
export function buildEndpointCall (call: AttemptCall): EndpointCall {
  const { request, attempt, resumeFrom } = call
  const timeoutMs = Math.max(1, Math.round(request.deadlineAtMs - performance.now()))
  const common: Record<string, string> = { 'x-attempt-id': attempt, 'x-request-id': request.requestId, 'x-timeout-ms': String(timeoutMs) }
  return match(request.work)
    .with({ type: 'completion' }, work => {
      const body = JSON.stringify({ ...work.body, stream: true, cache_salt: call.salt, priority: request.enginePriority, seed: work.seed, resume_from: resumeFrom })
      return { method: 'POST', path: work.path, headers: addLength({ ...common, 'content-type': 'application/json' }, body), body }
    })
    .with({ type: 'service' }, work => {
      const headers: Record<string, string> = { ...common, 'content-type': work.contentType }
      if (request.idempotencyKey !== null) headers['idempotency-key'] = `${request.organisation}/${request.idempotencyKey}`
      return { method: work.method, path: work.path, headers: addLength(headers, work.body), body: work.body }
    })
    .exhaustive()
}

function addLength (headers: Record<string, string>, body: string): Record<string, string> {
  return { ...headers, 'content-length': String(Buffer.byteLength(body)) }
}
