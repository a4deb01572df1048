import { sleep } from 'knapweedshunt-utils'
import type { CallerRequestHandler } from './callerRequestHandler.ts'
import type { CallerServer } from './callerServer.ts'
import type { StopWindow } from '../flow/stopWindow.ts'
import type { StopPhase } from '../records/decision.ts'

/** Time from the stop signal until the callers' load balancers send no new connections, in milliseconds: two failed readiness checks and the network delay. */
const LOAD_BALANCER_NOTICE_MS = 2_600

/** Share of the drain grace time after which requests in flight are cut off. */
const DRAIN_DEADLINE_GRACE_SHARE = 0.93

const DRAIN_POLL_INTERVAL_MS = 50

/** Dependencies of {@link drainCallers}; `recordPhase` is called when a step is done. */
export interface DrainDependencies {
  callerServer: CallerServer
  requestHandler: CallerRequestHandler
  stopWindow: StopWindow
  drainGraceMs: number
  recordPhase: (phase: StopPhase) => void
}

/** Serves requests until the load balancers have switched to other VMs, then waits until all responses are out or the grace time has nearly passed; those that remain are ended. */
export async function drainCallers ({ callerServer, requestHandler, stopWindow, drainGraceMs, recordPhase }: DrainDependencies): Promise<void> {
  const drainDeadlineAtMs = performance.now() + drainGraceMs * DRAIN_DEADLINE_GRACE_SHARE
  stopWindow.setEnd(drainDeadlineAtMs)
  callerServer.disableKeepAlive()
  await sleep(Math.min(LOAD_BALANCER_NOTICE_MS, drainGraceMs / 2))
  requestHandler.refuseNewRequests()
  recordPhase('refusing')
  await callerServer.closeListener()
  recordPhase('listenerClosed')
  await callerServer.closeIdleConnections()
  while ((requestHandler.inFlight > 0 || callerServer.pendingCount > 0) && performance.now() < drainDeadlineAtMs) {
    await sleep(DRAIN_POLL_INTERVAL_MS)
    await callerServer.closeIdleConnections()
  }
  requestHandler.stopRequests()
  recordPhase('drained')
}
