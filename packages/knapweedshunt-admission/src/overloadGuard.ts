/** Time constant with which what responses told of a pool's queues is forgotten, in milliseconds. */
const WAIT_DECAY_MS = 1000

/** Least weight of the newest response in the mean wait, and time after which earlier ones count for a third, in milliseconds: with few responses each counts. */
const MIN_WAIT_WEIGHT = 0.3
const WAIT_WEIGHT_MS = 900

/** Window of the shortest run time, in milliseconds; a pool that turns slow counts as such after one or two. */
const RUN_WINDOW_MS = 10_000

/** Waits at which requests begin to be refused, and which are aimed at, as shares of what the objective leaves beside the run time. */
const LIMIT_OBJECTIVE_SHARE = 0.35
const TARGET_OBJECTIVE_SHARE = 0.15

/** Time in which the rate of admitted requests follows a wait that is off its target by a run time, in milliseconds, and the bounds of that correction. */
const CORRECTION_MS = 1_000
const MIN_CORRECTION = 0.3
const MAX_CORRECTION = 1.1

/** Share by which the rate falls for each run time of waiting above the target, and at most. */
const DRAIN_SHARE = 0.4
const MAX_DRAIN_SHARE = 0.6

/** Requests that a VM may admit at once, in run times of its part of the places, one at least. */
const BURST_RUNS = 0.5

/** Longest time after which a refused caller is told to return, in milliseconds. */
const MAX_RETURN_MS = 5_000

const MS_PER_S = 1_000

/** Load that an endpoint told in a response. */
export interface ToldLoad {
  running: number
  waiting: number
  slots: number
}

/** What is asked of the guard for one request. */
export interface OverloadQuery {
  /** Sum of the places of the pool's endpoints that may be sent requests. */
  slots: number
  /** Number of VMs that send requests to the pool. */
  vmCount: number
  /** Time within which a response is on time, in milliseconds. */
  objectiveMs: number
}

/** Whether a request may be sent; `retryAfterMs` is when its caller may find room. */
export type OverloadDecision = { type: 'admitted' } | { type: 'refused', retryAfterMs: number }

/**
 * Load shedding for one pool under sustained overload, bursts and retry storms: each of many VMs, which see only their
 * own responses, keeps the queues of the endpoints short. While the waits that responses tell stand above a part of the
 * objective (a standing queue, as in CoDel), a VM admits requests at its part of the rate at which the pool's places run
 * them, corrected by the waits, so that all VMs together neither overfill the queues nor leave places free. Callers that
 * are refused return one after the other, in the order in which they were refused. Times are on the monotonic clock.
 */
export class OverloadGuard {
  #waitMs = 0
  #waitAtMs = 0
  #runMs: number | null = null
  #previousRunMs: number | null = null
  #runWindowAtMs = performance.now()
  #correction = 1
  #correctedAtMs = performance.now()
  #tokens = 1
  #refilledAtMs = performance.now()
  /** Time at which the caller refused last may return. */
  #lastReturnAtMs = -Infinity

  /** Records the load told in a response. */
  recordLoad ({ waiting, slots }: ToldLoad): void {
    const runMs = this.#findRunMs()
    if (runMs === null || slots <= 0) return
    const nowMs = performance.now()
    const weight = Math.max(MIN_WAIT_WEIGHT, 1 - Math.exp((this.#waitAtMs - nowMs) / WAIT_WEIGHT_MS))
    this.#waitMs = this.#getWaitMs(nowMs) * (1 - weight) + weight * waiting / slots * runMs
    this.#waitAtMs = nowMs
  }

  /** Records how long an endpoint took to answer a request, in milliseconds. */
  recordRun (runMs: number): void {
    this.#advanceRunWindow()
    this.#runMs = Math.min(this.#runMs ?? Infinity, runMs)
  }

  /** Whether the waits stand so high that requests of this objective, in milliseconds, are refused. */
  isOverloaded (objectiveMs: number): boolean {
    const runMs = this.#findRunMs()
    return runMs !== null && this.#getWaitMs(performance.now()) >= LIMIT_OBJECTIVE_SHARE * computeRoomMs(objectiveMs, runMs)
  }

  /** Decides on a request that is about to be sent to an endpoint of the pool. */
  decide ({ slots, vmCount, objectiveMs }: OverloadQuery): OverloadDecision {
    const runMs = this.#findRunMs()
    if (runMs === null || runMs <= 0 || slots <= 0) return { type: 'admitted' }
    const nowMs = performance.now()
    const waitMs = this.#getWaitMs(nowMs)
    const roomMs = computeRoomMs(objectiveMs, runMs)
    const excessRuns = (waitMs - TARGET_OBJECTIVE_SHARE * roomMs) / runMs
    this.#updateCorrection(excessRuns, nowMs)
    const drainShare = Math.min(MAX_DRAIN_SHARE, DRAIN_SHARE * Math.max(0, excessRuns))
    const ratePerMs = slots / runMs / Math.max(1, vmCount) * this.#correction * (1 - drainShare)
    const burst = Math.max(1, ratePerMs * runMs * BURST_RUNS)
    this.#refill(ratePerMs, burst, nowMs)
    if (waitMs < LIMIT_OBJECTIVE_SHARE * roomMs) {
      this.#tokens = Math.max(-burst, this.#tokens - 1)
      return { type: 'admitted' }
    }
    if (this.#tokens >= 1) {
      this.#tokens--
      return { type: 'admitted' }
    }
    return { type: 'refused', retryAfterMs: this.#reserveReturn((1 - this.#tokens) / ratePerMs, 1 / ratePerMs, nowMs) }
  }

  #getWaitMs (nowMs: number): number {
    return this.#waitMs * Math.exp((this.#waitAtMs - nowMs) / WAIT_DECAY_MS)
  }

  /** The mean of several run times would include their waits. */
  #findRunMs (): number | null {
    this.#advanceRunWindow()
    if (this.#runMs === null || this.#previousRunMs === null) return this.#runMs ?? this.#previousRunMs
    return Math.min(this.#runMs, this.#previousRunMs)
  }

  #advanceRunWindow (): void {
    const nowMs = performance.now()
    const windows = Math.floor((nowMs - this.#runWindowAtMs) / RUN_WINDOW_MS)
    if (windows === 0) return
    this.#previousRunMs = windows === 1 ? this.#runMs : null
    this.#runMs = null
    this.#runWindowAtMs = nowMs
  }

  #updateCorrection (excessRuns: number, nowMs: number): void {
    const elapsedMs = Math.min(MS_PER_S, nowMs - this.#correctedAtMs)
    this.#correctedAtMs = nowMs
    const change = elapsedMs / CORRECTION_MS * Math.max(-1, Math.min(1, -excessRuns))
    this.#correction = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, this.#correction + change))
  }

  #refill (ratePerMs: number, burst: number, nowMs: number): void {
    this.#tokens = Math.min(burst, this.#tokens + (nowMs - this.#refilledAtMs) * ratePerMs)
    this.#refilledAtMs = nowMs
  }

  #reserveReturn (earliestMs: number, intervalMs: number, nowMs: number): number {
    const returnAtMs = Math.max(nowMs + earliestMs, this.#lastReturnAtMs + intervalMs)
    this.#lastReturnAtMs = returnAtMs - nowMs > MAX_RETURN_MS ? nowMs + Math.min(earliestMs, MAX_RETURN_MS) : returnAtMs
    return Math.max(1, Math.ceil(this.#lastReturnAtMs - nowMs))
  }
}

/** Time that a request may wait and still be on time. */
function computeRoomMs (objectiveMs: number, runMs: number): number {
  return Math.max(objectiveMs - runMs, runMs)
}
