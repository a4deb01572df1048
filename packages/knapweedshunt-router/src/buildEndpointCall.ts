import { match } from 'ts-pattern'
import type { AttemptCall } from './attemptCall.ts'

/** Method, path, headers and body of an HTTP request to an endpoint. */
export interface EndpointCall {
  method: string
  path: string
  headers: Record<string, string>
  body: string
}

/** Builds the HTTP request of an attempt. A service gets the idempotency key prefixed with the organisation, so that keys of different organisations cannot collide. */
export function buildEndpointCall (call: AttemptCall): EndpointCall {
  const { request, attempt, resumeFrom } = call
  const timeoutMs = Math.max(1, Math.round(request.deadlineAtMs - performance.now()))
  const common: Record<string, string> = { 'x-attempt-id': attempt, 'x-request-id': request.requestId, 'x-timeout-ms': String(timeoutMs) }
  return match(request.work)
    .with({ type: 'completion' }, work => {
      const body = JSON.stringify({ ...work.body, stream: true, cache_salt: call.salt, priority: request.enginePriority, seed: work.seed, resume_from: resumeFrom })
      return { method: 'POST', path: work.path, headers: addContentLength({ ...common, 'content-type': 'application/json' }, body), body }
    })
    .with({ type: 'service' }, work => {
      const headers: Record<string, string> = { ...common, 'content-type': work.contentType }
      if (request.idempotencyKey !== null) headers['idempotency-key'] = `${request.organisation}/${request.idempotencyKey}`
      return { method: work.method, path: work.path, headers: addContentLength(headers, work.body), body: work.body }
    })
    .exhaustive()
}

function addContentLength (headers: Record<string, string>, body: string): Record<string, string> {
  return { ...headers, 'content-length': String(Buffer.byteLength(body)) }
}
