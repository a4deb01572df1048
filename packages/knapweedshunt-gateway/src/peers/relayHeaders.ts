import type http from 'node:http'
import { z } from 'zod'
import type { RelayAnswer } from './relayAnswer.ts'
import type { RelayedRequest } from './relayedRequest.ts'

/** Headers between two VMs, in lower case: the key of the VM that serves the request, the {@link RelayedRequest}, and the {@link RelayAnswer}, both as JSON. */
export const RELAY_HEADER = { key: 'knapweedshunt-relay-key', request: 'knapweedshunt-relay-request', answer: 'knapweedshunt-relay-answer' } as const

/** Maximum number of endpoints that a request was sent to before. */
const MAX_TRIED_ENDPOINTS = 32

const text = z.string().max(255)

const requestSchema = z.object({
  from: text,
  configRevision: z.number(),
  endpointsLeft: z.number().int(),
  triedEndpoints: z.array(text).max(MAX_TRIED_ENDPOINTS),
  softwareVersion: text.nullable()
}) satisfies z.ZodType<RelayedRequest>

const answerSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('forwarded'), endpoint: text, incarnation: text, softwareVersion: text, endpointCount: z.number().int() }),
  z.object({ type: z.literal('refused'), reason: text, mayHaveRun: z.boolean(), isLocal: z.boolean(), retryAfterMs: z.number().nullable() })
]) satisfies z.ZodType<RelayAnswer>

/** Builds the headers of a relayed request; flat name-value pairs. */
export function buildRelayRequestHeaders (key: string, request: RelayedRequest): string[] {
  return [RELAY_HEADER.key, key, RELAY_HEADER.request, encodeJson(request)]
}

/** Builds the headers of the response to a relayed request; flat name-value pairs. */
export function buildRelayAnswerHeaders (answer: RelayAnswer): string[] {
  return [RELAY_HEADER.answer, encodeJson(answer)]
}

/** Decodes the relay header of a request; null if it is missing or malformed. */
export function decodeRelayedRequest (headers: http.IncomingHttpHeaders): RelayedRequest | null {
  return requestSchema.safeParse(parseJson(headers[RELAY_HEADER.request])).data ?? null
}

/** Decodes the relay header of a response; null if it is missing or malformed. */
export function decodeRelayAnswer (headers: http.IncomingHttpHeaders): RelayAnswer | null {
  return answerSchema.safeParse(parseJson(headers[RELAY_HEADER.answer])).data ?? null
}

/** A header value holds Latin-1 characters only. */
function encodeJson (value: unknown): string {
  return encodeURIComponent(JSON.stringify(value))
}

function parseJson (value: string | string[] | undefined): unknown {
  try {
    return JSON.parse(decodeURIComponent(String(value)))
  } catch {
    return null // The schema rejects it.
  }
}
