import type { CallerRequest } from './callerRequest.ts'
import type { DataPath } from './dataPath.ts'

/** Waits until a request is admitted; one that only other routers can serve is admitted by the one that does. Throws CallerError. */
export async function waitForAdmission (dataPath: DataPath, request: CallerRequest, signal: AbortSignal): Promise<void> {
  const { admission, endpoints, relays } = dataPath
  if (request.relayHeaders !== null && relays.needsRelay(request.pool) && endpoints.listUsable(request.pool).length === 0) return
  await admission.waitForAdmission(request, signal)
}
