import type { IncomingMessage, ServerResponse } from 'node:http'
import { createIncarnation } from 'knapweedshunt-utils'
import { CallerError, createCallerError } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { DataPath } from './dataPath.ts'
import { determineOrigin } from './determineOrigin.ts'
import { markOutcomeUnknown } from './orders/markOutcomeUnknown.ts'
import { runOrder } from './orders/runOrder.ts'
import { serveOrderPaths } from './orders/serveOrderPaths.ts'
import { parseCallerRequest } from './parseCallerRequest.ts'
import { runAdmitted } from './runAdmitted.ts'
import { sendCallerError } from './sendCallerError.ts'
import { ResponseSink } from './responseSink.ts'

const NOT_READY_RETRY_AFTER_MS = 1_000

/** Serves one request of a caller until its response has ended. Never rejects. */
export async function serveCaller (dataPath: DataPath, maxBodyBytes: number, message: IncomingMessage, response: ServerResponse): Promise<void> {
  let requestId = createIncarnation()
  try {
    const index = dataPath.resourceIndex
    if (index === null) throw createCallerError('not_ready', 'The router has no resources yet: try again later.', 'not-run', NOT_READY_RETRY_AFTER_MS)
    if (await serveOrderPaths(dataPath, index, message, response)) return
    const request = await parseCallerRequest(message, index, maxBodyBytes)
    requestId = request.requestId
    await runRequest(dataPath, request, response)
  } catch (error) {
    if (!(error instanceof CallerError)) dataPath.log.error('Request failed with an internal error.', { requestId, reason: String(error) })
    const callerError = error instanceof CallerError ? error : createCallerError('internal', 'The router failed inside.', 'may-have-run')
    sendCallerError(response, markOutcomeUnknown(message.headers, callerError), requestId)
  }
}

async function runRequest (dataPath: DataPath, request: CallerRequest, response: ServerResponse): Promise<void> {
  const sink = new ResponseSink(response, request, dataPath.peerKey, dataPath.responseMemory)
  if (!request.repeatable) return await runOrder(dataPath, request, sink)
  await runAdmitted(dataPath, request, response, sink, await determineOrigin(dataPath, request))
}
