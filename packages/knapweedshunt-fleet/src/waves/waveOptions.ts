import type { LeaseOptions } from '../leaseOptions.ts'

/** Options of the waves in which endpoints load weights; times in milliseconds. */
export interface WaveOptions {
  lease: LeaseOptions
  /** Time between two steps. */
  stepMs: number
  /** Share of a pool's endpoints that load at the same time, one at least; as many more may wait for their requests to end. */
  parallelShare: number
  /** Longest wait for an answer to an order or a question. */
  callMs: number
  /** Time for which an endpoint is left alone before its order at least: the notice reaches all VMs, and reports are that old. */
  drainLeastMs: number
  /** Longest wait for its requests to end. */
  drainBoundMs: number
  /** Time from an order that was taken to the first question. */
  firstAskMs: number
  /** How old a report may be when it comes: one that does not tell of an order yet is no reason to give it again. */
  reportLagMs: number
  /** Time between two questions to an endpoint that loads. */
  askMs: number
  /** Unanswered questions in a row after which an endpoint that loads is given up for now. */
  maxSilent: number
  /** Time after which an endpoint that was given up is tried again. */
  restMs: number
  /** Silence of the last holder after which others contend. */
  takeOverMs: number
  /** Further wait for each place in the order of VMs. */
  placeMs: number
}

/** Defaults for endpoints that load within a second; lease times for a store that answers in tens of milliseconds. */
export const DEFAULT_WAVE_OPTIONS: WaveOptions = {
  lease: { durationMs: 2_000, guardMs: 300, intervalMs: 500, longestOrderMs: 3_200 },
  stepMs: 60,
  parallelShare: 0.2,
  callMs: 400,
  drainLeastMs: 150,
  drainBoundMs: 600,
  firstAskMs: 250,
  reportLagMs: 1_000,
  askMs: 100,
  maxSilent: 4,
  restMs: 1_000,
  takeOverMs: 1_200,
  placeMs: 250
}
