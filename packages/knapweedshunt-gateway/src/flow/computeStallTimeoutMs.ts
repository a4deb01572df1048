import type { GatewayRoute } from '../ports/gatewayConfig.ts'
import { getPauseObjectiveMs } from './getPauseObjectiveMs.ts'

/** Pause after which a stream counts as stalled, as a multiple of the pause objective. */
const STALL_TIMEOUT_PAUSE_FACTOR = 2

/** Pause after which another endpoint is asked for the rest of a resumable stream, in milliseconds. */
export function computeStallTimeoutMs (route: GatewayRoute): number {
  return getPauseObjectiveMs(route) * STALL_TIMEOUT_PAUSE_FACTOR
}
