import { performance } from 'node:perf_hooks'
import type { EventLoopUtilization } from 'node:perf_hooks'

/** Time over which the use of the event loop is measured, in milliseconds, and the share from which on it has no time left. */
const WINDOW_MS = 200
const BUSY_SHARE = 0.9

/** Measures whether the event loop has time left. */
export class ProcessLoad {
  #startedAtMs = performance.now()
  #start: EventLoopUtilization = performance.eventLoopUtilization()
  #isBusy = false

  /** Whether it had none in the last window, which ends with the first call after its time. */
  get isBusy (): boolean {
    const nowMs = performance.now()
    if (nowMs - this.#startedAtMs < WINDOW_MS) return this.#isBusy
    this.#isBusy = performance.eventLoopUtilization(this.#start).utilization >= BUSY_SHARE
    this.#startedAtMs = nowMs
    this.#start = performance.eventLoopUtilization()
    return this.#isBusy
  }
}
