import { sleep } from 'knapweedshunt-utils'
import type { CallerRequestHandler } from './callerRequestHandler.ts'
import type { CallerServer } from './callerServer.ts'
import type { StopPhase } from '../records/decision.ts'

/** Time from the stop signal until the callers' load balancers send no new connections, in milliseconds: two failed readiness checks and the network delay. */
const LOAD_BALANCER_NOTICE_MS = 2_600

const DRAIN_POLL_INTERVAL_MS = 50

/** Dependencies of {@link drainCallers}; `deadline` aborts when requests in flight are cut off, `recordPhase` is called when a step is done. */
export interface DrainDependencies {
  callerServer: CallerServer
  requestHandler: CallerRequestHandler
  drainGraceMs: number
  deadline: AbortSignal
  recordPhase: (phase: StopPhase) => void
}

/** Serves requests until the load balancers have switched to other VMs, then waits until all responses are out or the deadline has come; those that remain are ended. */
export async function drainCallers ({ callerServer, requestHandler, drainGraceMs, deadline, recordPhase }: DrainDependencies): Promise<void> {
  callerServer.disableKeepAlive()
  await sleep(Math.min(LOAD_BALANCER_NOTICE_MS, drainGraceMs / 2))
  requestHandler.refuseNewRequests()
  recordPhase('refusing')
  await callerServer.closeListener(deadline)
  recordPhase('listenerClosed')
  await callerServer.closeIdleConnections(deadline)
  while ((requestHandler.inFlight > 0 || callerServer.pendingCount > 0) && !deadline.aborted) {
    await sleep(DRAIN_POLL_INTERVAL_MS, deadline)
    await callerServer.closeIdleConnections(deadline)
  }
  requestHandler.stopRequests()
  recordPhase('drained')
}
