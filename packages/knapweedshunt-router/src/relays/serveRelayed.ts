import type { IncomingMessage, ServerResponse } from 'node:http'
import { RELAY_HEADER } from 'knapweedshunt-membership'
import { isSameSecret } from 'knapweedshunt-utils'
import { CallerError, createCallerError } from '../callerError.ts'
import type { DataPath } from '../dataPath.ts'
import { parseCallerRequest } from '../parseCallerRequest.ts'
import { runAdmitted } from '../runAdmitted.ts'
import { decodeRelayedAttempt } from './relayHeaders.ts'
import { RelaySink } from './relaySink.ts'
import { sendRelayRefusal } from './sendRelayRefusal.ts'

/** Options of {@link serveRelayed}. */
export interface ServeRelayedOptions {
  maxBodyBytes: number
  isStopping: boolean
}

/** Serves an attempt that another router relayed, as a request of its own, but relays it no further. Never rejects. */
export async function serveRelayed (dataPath: DataPath, { maxBodyBytes, isStopping }: ServeRelayedOptions, message: IncomingMessage, response: ServerResponse): Promise<void> {
  try {
    const relayed = decodeRelayedAttempt(message.headers)
    const index = dataPath.resourceIndex
    if (relayed === null || !isSameSecret(String(message.headers[RELAY_HEADER.key]), dataPath.peerKey)) throw createCallerError('key_unknown', 'The relayed attempt lacks the key of the routers.')
    if (isStopping) throw createCallerError('shutting_down', 'The router is stopping.')
    if (index === null) throw createCallerError('not_ready', 'The router has no resources yet.')
    const parsed = await parseCallerRequest(message, index, maxBodyBytes)
    if (parsed.pool !== relayed.pool || parsed.repeatable !== relayed.repeatable) throw createCallerError('not_ready', 'The router has other resources for the request.')
    const request = { ...parsed, relayHeaders: null, resumeFrom: relayed.resumeFrom }
    await dataPath.trackRelayed(runAdmitted(dataPath, request, response, new RelaySink(response, request, dataPath.responseMemory), relayed))
  } catch (error) {
    if (!(error instanceof CallerError)) dataPath.log.error('Relayed request failed with an internal error.', { reason: String(error) })
    sendRelayRefusal(response, error instanceof CallerError ? error : createCallerError('internal', 'The router failed inside.', 'may-have-run'))
  }
}
