import type { GatewayRoute } from '../ports/gatewayConfig.ts'

/** Pause objective of a stream whose route sets none, in milliseconds. */
export const DEFAULT_PAUSE_OBJECTIVE_MS = 500

/** Target for the longest pause between the events of a stream, in milliseconds. */
export function getPauseObjectiveMs ({ pauseObjectiveMs }: GatewayRoute): number {
  return pauseObjectiveMs ?? DEFAULT_PAUSE_OBJECTIVE_MS
}
