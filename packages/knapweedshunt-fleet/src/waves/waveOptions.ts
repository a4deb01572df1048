import type { LeaseOptions } from '../leaseOptions.ts'

/** Options of the waves in which endpoints load weights; times in milliseconds. */
export interface WaveOptions {
  lease: LeaseOptions
  /** Time between two steps. */
  stepMs: number
  /** Share of a pool's endpoints that load at the same time; one at least. */
  parallelShare: number
  /** Share of a pool's endpoints that get nothing new beforehand, so that their requests end before they load. */
  aheadShare: number
  /** Longest wait for an answer to an order or a question. */
  callMs: number
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
  /** Time without a step of the present holder after which the next VM contends; further VMs wait a multiple. */
  takeOverMs: number
}

/** Defaults for endpoints that load within a second; lease times for a store that answers in tens of milliseconds. */
export const DEFAULT_WAVE_OPTIONS: WaveOptions = {
  lease: { durationMs: 2_000, guardMs: 300, intervalMs: 500, longestOrderMs: 3_200 },
  stepMs: 60,
  parallelShare: 0.2,
  aheadShare: 0,
  callMs: 400,
  firstAskMs: 300,
  reportLagMs: 1_000,
  askMs: 100,
  maxSilent: 4,
  restMs: 1_000,
  takeOverMs: 900
}
