import type { GatewayRoute } from '../ports/gatewayConfig.ts'
import { computeStallTimeoutMs } from './computeStallTimeoutMs.ts'

/** Maximum wait for an endpoint that is full, loads weights or is limited, as a share of the objective. */
const MAX_WAIT_OBJECTIVE_SHARE = 0.5

/** Maximum wait of a request for an endpoint, in milliseconds. A caller whose response has begun can't be refused any more: its stream would be broken off, so that it waits as long as a stream may stall. */
export function computeMaxWaitMs (route: GatewayRoute, hasBegun: boolean): number {
  const maxWaitMs = route.objectiveMs * MAX_WAIT_OBJECTIVE_SHARE
  return hasBegun ? Math.max(maxWaitMs, computeStallTimeoutMs(route)) : maxWaitMs
}
