import type http from 'node:http'
import { RELAY_HEADER } from 'knapweedshunt-membership'
import { decodeJsonHeader, encodeJsonHeader } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { RelayAnswer } from './relayAnswer.ts'
import type { RelayedRequest } from './relayedRequest.ts'

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
  return [RELAY_HEADER.key, key, RELAY_HEADER.request, encodeJsonHeader(request)]
}

/** Builds the headers of the response to a relayed request; flat name-value pairs. */
export function buildRelayAnswerHeaders (answer: RelayAnswer): string[] {
  return [RELAY_HEADER.answer, encodeJsonHeader(answer)]
}

/** Decodes the relay header of a request; null if it is missing or malformed. */
export function decodeRelayedRequest (headers: http.IncomingHttpHeaders): RelayedRequest | null {
  return requestSchema.safeParse(decodeJsonHeader(headers[RELAY_HEADER.request])).data ?? null
}

/** Decodes the relay header of a response; null if it is missing or malformed. */
export function decodeRelayAnswer (headers: http.IncomingHttpHeaders): RelayAnswer | null {
  return answerSchema.safeParse(decodeJsonHeader(headers[RELAY_HEADER.answer])).data ?? null
}
