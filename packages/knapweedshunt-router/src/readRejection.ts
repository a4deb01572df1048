import type { IncomingMessage } from 'node:http'
import type { AttemptEvent } from 'knapweedshunt-attempts'
import { readBody } from 'knapweedshunt-utils'
import { z } from 'zod'
import type { AttemptCall } from './attemptCall.ts'

const MAX_REJECTION_BYTES = 65_536
const MAX_MESSAGE_CHARS = 500
const MS_PER_SECOND = 1_000
const errorBodySchema = z.object({ error: z.object({ message: z.string() }) })

/** Reads an engine's response with a status other than 200. */
export async function readRejection ({ attempt, share }: AttemptCall, message: IncomingMessage): Promise<AttemptEvent> {
  const status = message.statusCode ?? 0
  const text = await readBody(message, MAX_REJECTION_BYTES, sizeBytes => share.tryResize(sizeBytes))
  return { type: 'rejected', attempt, status, retryAfterMs: readRetryAfter(message), message: readMessage(text, status) }
}

/** Reads the time after which the endpoint wants to be asked again, in milliseconds; null if it states none. */
export function readRetryAfter (message: IncomingMessage): number | null {
  const seconds = Number(message.headers['retry-after'] ?? Number.NaN)
  return Number.isFinite(seconds) && seconds >= 0 ? seconds * MS_PER_SECOND : null
}

function readMessage (text: string, status: number): string {
  try {
    return errorBodySchema.parse(JSON.parse(text)).error.message.slice(0, MAX_MESSAGE_CHARS)
  } catch {
    return `status ${status}`
  }
}
