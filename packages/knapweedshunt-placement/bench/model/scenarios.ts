/** Load and events of a run. Times are in milliseconds of virtual time; Infinity means never. */
export interface Scenario {
  name: 'lunch' | 'shift' | 'lost' | 'herd' | 'steady'
  /** Share of the peak request rate at a time. */
  rate (atMs: number): number
  /** Time from which other manuals and sections are popular and the manuals of the first, largest organisation have new text. */
  shiftAtMs: number
  /** Time at which the first engine crashes. */
  crashAtMs: number
  /** Time at which the crashed engine is up again, with an empty cache. */
  restartAtMs: number
  /** Time at which all routers restart and lose their placement state. */
  routerRestartAtMs: number
}

/** Duration of a run, in milliseconds of virtual time. */
export const RUN_DURATION_MS = 300_000

/** Requests before this time are not included in the metrics. */
export const WARM_UP_MS = 60_000

/** Time of the event of a scenario. */
export const EVENT_AT_MS = 180_000

/** End of the minute after the event. */
export const EVENT_MINUTE_END_MS = EVENT_AT_MS + 60_000

const NEVER = Infinity
const STEADY_SHARE = 0.75

const NO_EVENTS = { rate: () => STEADY_SHARE, shiftAtMs: NEVER, crashAtMs: NEVER, restartAtMs: NEVER, routerRestartAtMs: NEVER }

/** All scenarios; `steady` is `herd` without the restart of the routers. */
export const SCENARIOS: Scenario[] = [
  { ...NO_EVENTS, name: 'lunch', rate: atMs => 0.35 + 0.65 * Math.sin(Math.PI * atMs / RUN_DURATION_MS) ** 2 },
  { ...NO_EVENTS, name: 'shift', shiftAtMs: EVENT_AT_MS },
  { ...NO_EVENTS, name: 'lost', crashAtMs: EVENT_AT_MS, restartAtMs: EVENT_AT_MS + 30_000 },
  { ...NO_EVENTS, name: 'herd', routerRestartAtMs: EVENT_AT_MS },
  { ...NO_EVENTS, name: 'steady' }
]
