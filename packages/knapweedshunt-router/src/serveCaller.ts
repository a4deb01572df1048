import type { IncomingMessage, ServerResponse } from 'node:http'
import { createIncarnation } from 'knapweedshunt-utils'
import { buildFailure } from './buildFailure.ts'
import { CallerError, createCallerError } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { DataPath } from './dataPath.ts'
import { describeUnstarted } from './orders/describeUnstarted.ts'
import { runOrder } from './orders/runOrder.ts'
import { serveOrderPaths } from './orders/serveOrderPaths.ts'
import { parseCallerRequest } from './parseCallerRequest.ts'
import { RequestTask } from './requestTask.ts'
import { sendCallerError } from './sendCallerError.ts'
import { StreamSink } from './streamSink.ts'

const RETRY_AFTER_MS = 1_000

/** Serves one caller request to its end. Never throws. */
export async function serveCaller (path: DataPath, maxBodyBytes: number, message: IncomingMessage, response: ServerResponse): Promise<void> {
  let requestId = createIncarnation()
  try {
    const index = path.index
    if (index === null) throw createCallerError('not_ready', 'The router has no resources yet: try again later.', 'not-run', RETRY_AFTER_MS)
    if (await serveOrderPaths(path, index, message, response)) return
    const request = await parseCallerRequest(message, index, maxBodyBytes)
    requestId = request.requestId
    await runRequest(path, request, response)
  } catch (error) {
    if (!(error instanceof CallerError)) path.log.error('Request failed inside.', { requestId, reason: String(error) })
    const shown = error instanceof CallerError ? error : createCallerError('internal', 'The router failed inside.', 'may-have-run')
    sendCallerError(response, describeUnstarted(message.headers, shown), requestId)
  }
}

async function runRequest (path: DataPath, request: CallerRequest, response: ServerResponse): Promise<void> {
  const gone = new AbortController()
  response.once('close', () => { if (!response.writableFinished) gone.abort() })
  const sink = new StreamSink(response, request)
  if (!request.repeatable) return await runOrder(path, request, sink)
  await admitRequest(path, request, gone.signal)
  try {
    await new RequestTask(path, request, sink).run(gone.signal)
  } finally {
    path.gate.leave(request.requestId)
  }
}

/** Refuses a quarantined request, and waits for the admission. Throws CallerError. */
async function admitRequest (path: DataPath, request: CallerRequest, signal: AbortSignal): Promise<void> {
  const state = path.suspects.check(request)
  try {
    if (state.type === 'quarantined') throw buildFailure({ type: 'fail', code: 'request_quarantined', ran: 'not-run', retryAfterMs: state.retryAfterMs, message: null })
    await path.gate.enter(request, signal)
  } catch (error) {
    if (error instanceof CallerError && !signal.aborted) path.figures.recordRefusal(request, error.code)
    throw error
  }
  path.figures.recordQueueTime(request, performance.now() - request.receivedAtMs)
}
