import type { IncomingHttpHeaders } from 'node:http'
import { RELAY_HEADER } from 'knapweedshunt-membership'
import { EXECUTION_STATES } from 'knapweedshunt-types'
import { decodeJsonHeader, encodeJsonHeader } from 'knapweedshunt-utils'
import { z } from 'zod'
import { CALLER_ERROR_CODES } from '../callerError.ts'
import type { CallerErrorCode } from '../callerError.ts'
import type { RelayAnswer } from './relayAnswer.ts'
import type { RelayedAttempt } from './relayedAttempt.ts'

const MAX_MESSAGE_CHARS = 500
const text = z.string().max(255)

const attemptSchema = z.object({
  from: text,
  pool: text,
  repeatable: z.boolean(),
  resumeFrom: z.number().int().nonnegative(),
  softwareVersion: text,
  weightsVersion: text
}) satisfies z.ZodType<RelayedAttempt>

const answerSchema = z.discriminatedUnion('type', [
  z.object({ type: z.literal('forwarded') }),
  z.object({ type: z.literal('refused'), code: z.enum(Object.keys(CALLER_ERROR_CODES) as CallerErrorCode[]).catch('internal'), ran: z.enum(EXECUTION_STATES), retryAfterMs: z.number().nullable(), message: z.string().max(MAX_MESSAGE_CHARS) })
]) satisfies z.ZodType<RelayAnswer>

/** Builds the headers with which a router asks another one to serve an attempt. */
export function buildRelayHeaders (key: string, attempt: RelayedAttempt): Record<string, string> {
  return { [RELAY_HEADER.key]: key, [RELAY_HEADER.request]: encodeJsonHeader(attempt) }
}

/** Builds the header of the response to a relayed attempt. */
export function buildAnswerHeader (answer: RelayAnswer): Record<string, string> {
  const encoded = answer.type === 'refused' ? { ...answer, message: answer.message.slice(0, MAX_MESSAGE_CHARS) } : answer
  return { [RELAY_HEADER.answer]: encodeJsonHeader(encoded) }
}

/** Decodes what a router asks for; null if it is missing or malformed. */
export function decodeRelayedAttempt (headers: IncomingHttpHeaders): RelayedAttempt | null {
  return attemptSchema.safeParse(decodeJsonHeader(headers[RELAY_HEADER.request])).data ?? null
}

/** Decodes what a router says of its response; null if it is missing or malformed. */
export function decodeRelayAnswer (headers: IncomingHttpHeaders): RelayAnswer | null {
  return answerSchema.safeParse(decodeJsonHeader(headers[RELAY_HEADER.answer])).data ?? null
}
