import type { IncomingMessage, ServerResponse } from 'node:http'
import { createIncarnation } from 'knapweedshunt-utils'
import { buildFailureError } from './buildFailureError.ts'
import { CallerError, createCallerError } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { DataPath } from './dataPath.ts'
import { determineOrigin } from './determineOrigin.ts'
import { markOutcomeUnknown } from './orders/markOutcomeUnknown.ts'
import { runOrder } from './orders/runOrder.ts'
import { serveOrderPaths } from './orders/serveOrderPaths.ts'
import { parseCallerRequest } from './parseCallerRequest.ts'
import { RequestTask } from './requestTask.ts'
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
  const callerAbort = new AbortController()
  response.once('close', () => { if (!response.writableFinished) callerAbort.abort() })
  const sink = new ResponseSink(response, request, dataPath.peerKey)
  if (!request.repeatable) return await runOrder(dataPath, request, sink)
  const origin = await determineOrigin(dataPath, request)
  await admitRequest(dataPath, request, callerAbort.signal)
  try {
    await new RequestTask(dataPath, request, sink, origin).run(callerAbort.signal)
  } finally {
    dataPath.admission.release(request.requestId)
  }
}

/** Refuses a quarantined request; waits until any other one is admitted. Throws CallerError. */
async function admitRequest (dataPath: DataPath, request: CallerRequest, signal: AbortSignal): Promise<void> {
  const state = dataPath.suspectGuard.check(request)
  try {
    if (state.type === 'quarantined') throw buildFailureError({ type: 'fail', code: 'request_quarantined', ran: 'not-run', retryAfterMs: state.retryAfterMs, message: null })
    await dataPath.admission.waitForAdmission(request, signal)
  } catch (error) {
    if (error instanceof CallerError && !signal.aborted) dataPath.metrics.recordRefusal(request, error.code)
    throw error
  }
  dataPath.metrics.recordQueueTime(request, performance.now() - request.receivedAtMs)
}
