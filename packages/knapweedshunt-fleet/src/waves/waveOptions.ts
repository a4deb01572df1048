import type { LeaseOptions } from '../leaseOptions.ts'

/** Options of the waves in which the endpoints of a pool load new weights; times in milliseconds. */
export interface WaveOptions {
  lease: LeaseOptions
  /** Interval between two planning steps. */
  stepIntervalMs: number
  /** Share of a pool's endpoints that may drain at the same time, at least one; draining and loading ones together are limited to twice that. */
  parallelShare: number
  /** Timeout of a load command or a report call. */
  callTimeoutMs: number
  /** Minimum time between the notice and the load command: the notice must reach all VMs, and reports may be that old. */
  minDrainMs: number
  /** Maximum time to wait for running requests to end. */
  maxDrainMs: number
  /** Delay between an accepted command and the first poll. */
  firstPollDelayMs: number
  /** Maximum age of a report on arrival; for this time after a command, a report that does not reflect it does not cause a repeat. */
  reportLagMs: number
  /** Interval between polls of an endpoint that is draining or loading. */
  pollIntervalMs: number
  /** Consecutive unanswered polls after which a load is given up. */
  maxUnansweredPolls: number
  /** Time after which a load that was given up is tried again. */
  backoffMs: number
  /** Time without a notice from the last lease holder after which other VMs contend for the lease. */
  takeoverDelayMs: number
  /** Additional delay before contending for each rank of a VM. */
  rankDelayMs: number
}

/** Defaults for endpoints that load within a second, and a table service that answers within tens of milliseconds. */
export const DEFAULT_WAVE_OPTIONS: WaveOptions = {
  lease: { durationMs: 2_000, minDurationMs: 1_000, guardMs: 300, intervalMs: 250, maxCommandMs: 3_200 },
  stepIntervalMs: 60,
  parallelShare: 0.2,
  callTimeoutMs: 400,
  minDrainMs: 150,
  maxDrainMs: 600,
  firstPollDelayMs: 250,
  reportLagMs: 1_000,
  pollIntervalMs: 100,
  maxUnansweredPolls: 4,
  backoffMs: 1_000,
  takeoverDelayMs: 1_200,
  rankDelayMs: 250
}
