/** What happens in a run. Times in virtual milliseconds. */
export interface Scenario {
  name: 'lunch' | 'shift' | 'lost' | 'herd' | 'steady'
  /** Share of the peak rate at a time. */
  rate (atMs: number): number
  /** Popularity moves to other sections and the largest organisation's rules are written anew. */
  shiftAtMs: number
  /** The first engine crashes. */
  lostAtMs: number
  /** The crashed engine is back, empty. */
  backAtMs: number
  /** All routers restart and know nothing. */
  herdAtMs: number
}

/** Length of a run. */
export const RUN_MS = 300_000

/** Requests before this time are not measured. */
export const WARM_MS = 60_000

/** When things happen. */
export const MID_MS = 180_000

/** End of the minute after them. */
export const HERD_END_MS = MID_MS + 60_000

const NEVER = Infinity
const STEADY_SHARE = 0.75

const QUIET = { rate: () => STEADY_SHARE, shiftAtMs: NEVER, lostAtMs: NEVER, backAtMs: NEVER, herdAtMs: NEVER }

/** All runs; `steady` is `herd` without the restart. */
export const SCENARIOS: Scenario[] = [
  { ...QUIET, name: 'lunch', rate: atMs => 0.35 + 0.65 * Math.sin(Math.PI * atMs / RUN_MS) ** 2 },
  { ...QUIET, name: 'shift', shiftAtMs: MID_MS },
  { ...QUIET, name: 'lost', lostAtMs: MID_MS, backAtMs: MID_MS + 30_000 },
  { ...QUIET, name: 'herd', herdAtMs: MID_MS },
  { ...QUIET, name: 'steady' }
]
