import type { ServerResponse } from 'node:http'
import type { StreamVersions } from 'knapweedshunt-attempts'
import { buildFailureError } from './buildFailureError.ts'
import { CallerError } from './callerError.ts'
import type { CallerRequest } from './callerRequest.ts'
import type { CallerSink } from './callerSink.ts'
import type { DataPath } from './dataPath.ts'
import { RequestTask } from './requestTask.ts'
import { waitForAdmission } from './waitForAdmission.ts'

/** Runs a request once it is admitted, until its response has ended or its sender has left. `origin`: what began the stream that it resumes; null for none. Throws CallerError. */
export async function runAdmitted (dataPath: DataPath, request: CallerRequest, response: ServerResponse, sink: CallerSink, origin: StreamVersions | null): Promise<void> {
  const { socket } = response.req
  const callerAbort = new AbortController()
  const handleLeft = () => {
    if (response.writableFinished) return
    callerAbort.abort()
    response.destroy()
  }
  // What has happened before does not happen again.
  if (response.closed || socket.readableEnded) return handleLeft()
  response.once('close', handleLeft)
  // The response closes only when all that was written is out; a half-closed connection shows at once that its caller has left.
  socket.once('end', handleLeft)
  try {
    await admitRequest(dataPath, request, callerAbort.signal)
    try {
      await new RequestTask(dataPath, request, sink, origin).run(callerAbort.signal)
    } finally {
      dataPath.admission.release(request.requestId)
    }
  } finally {
    socket.removeListener('end', handleLeft)
  }
}

/** Refuses a quarantined request; waits until any other one is admitted. Throws CallerError. */
async function admitRequest (dataPath: DataPath, request: CallerRequest, signal: AbortSignal): Promise<void> {
  const state = dataPath.suspectGuard.check(request)
  try {
    if (state.type === 'quarantined') throw buildFailureError({ type: 'fail', code: 'request_quarantined', ran: 'not-run', retryAfterMs: state.retryAfterMs, message: null })
    await waitForAdmission(dataPath, request, signal)
  } catch (error) {
    if (error instanceof CallerError && !signal.aborted) dataPath.metrics.recordRefusal(request, error.code)
    throw error
  }
  dataPath.metrics.recordQueueTime(request, performance.now() - request.receivedAtMs)
}
